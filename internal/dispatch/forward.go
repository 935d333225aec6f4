package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// forward sends the request to an owner host. done is false if no owner accepted it, it cannot
// have run anywhere, and this host should serve it itself.
func (x *exchange) forward(ctx context.Context) (done bool, err error) {
	for _, owner := range shuffleOwners(x.view) {
		response, failure := x.send(ctx, x.toOwner(owner, x.forwardHeaders))
		switch {
		case failure != nil && isCallerGone(ctx):
			return true, refuse(failure.Written, toTypedError(failure.Unwrap()))
		case failure != nil && failure.Written && !x.req.Idempotent:
			return true, refuseUnknown(toTypedError(failure.Unwrap()))
		case failure != nil:
			x.written = x.written || failure.Written
			continue
		case x.ownerDeclined(response):
			response.DrainAndClose()
			continue
		}
		return x.relay(ctx, owner, response)
	}
	return false, nil
}

func (x *exchange) forwardHeaders(h http.Header) {
	h.Set(protocol.HeaderRequestID, x.req.ID)
	h.Set(protocol.HeaderDeadline, deadlineMs(x.req.Deadline))
	h.Set(HeaderForwardedBy, x.snap.Self.Host)
	h.Set(HeaderService, x.req.Service)
	h.Set(HeaderIdempotent, strconv.FormatBool(x.req.Idempotent))
	if x.req.Customer != "" {
		h.Set(protocol.HeaderCustomer, x.req.Customer)
	}
	if x.req.Explicit {
		h.Set(HeaderTimeout, deadlineMs(x.req.Deadline))
	}
}

// ownerDeclined reports whether the owner did not run the request for a reason that concerns
// only that owner, so that another host may run it.
func (x *exchange) ownerDeclined(response *upstream.Answer) bool {
	if Outcome(response.Header.Get(HeaderOutcome)) != OutcomeNotRun {
		return false
	}
	switch errs.Kind(response.Header.Get(HeaderKind)) {
	case errs.KindStaleHost, errs.KindNoRoute, errs.KindDialFailed:
		return true
	default:
		return false
	}
}

// relay passes an owner's response to the caller.
func (x *exchange) relay(ctx context.Context, owner world.OwnerView, response *upstream.Answer) (done bool, err error) {
	if response.Header.Get(protocol.HeaderRequestID) != x.req.ID || response.Header.Get(HeaderOutcome) == "" {
		response.Discard()
		return true, refuseUnknown(errs.New(errs.KindWrongAnswer, "owner host "+owner.Host+" sent a response to another request", "ask for the outcome before repeating a non-idempotent request"))
	}
	if x.written && Outcome(response.Header.Get(HeaderOutcome)) == OutcomeNotRun {
		response.DrainAndClose()
		return true, refuseUnknown(errs.New(errs.KindAnswerBroken, "the connection to an owner host broke before owner host "+owner.Host+" refused the request", "repeat the request"))
	}
	x.headerArrived()
	tried := []string{owner.Host}
	copier := &responseCopier{
		w:        x.w,
		response: response,
		outcome:  Outcome(response.Header.Get(HeaderOutcome)),
		id:       x.req.ID,
		idHeader: x.d.proto.RequestID,
		session:  x.req.Session,
		reopen:   func(rangeHeaders rangeRequest) *upstream.Answer { return x.reopenAtOwner(ctx, rangeHeaders, &tried) },
		onResume: x.recordResume,
	}
	copier.setResumable(x.req)
	if err := copier.run(); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true, nil
}

// reopenAtOwner resumes a download at another owner host.
func (x *exchange) reopenAtOwner(ctx context.Context, at rangeRequest, tried *[]string) *upstream.Answer {
	for _, owner := range shuffleOwners(x.view) {
		if slices.Contains(*tried, owner.Host) {
			continue
		}
		*tried = append(*tried, owner.Host)
		response, failure := x.send(ctx, x.toOwner(owner, func(h http.Header) {
			x.forwardHeaders(h)
			at.setHeaders(h)
		}))
		if failure == nil {
			return response
		}
	}
	return nil
}

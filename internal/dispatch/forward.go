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

// forward sends the request to an owner host. done is false if no owner took
// it, nothing can have run, and this host should serve it itself.
func (x *exchange) forward(ctx context.Context) (done bool, err error) {
	for _, owner := range ownersInOrder(x.view) {
		answer, failure := x.send(ctx, x.toOwner(owner, x.forwardHeaders))
		switch {
		case failure != nil && isCallerGone(ctx):
			return true, notRunOrUnknown(failure.Written, asTyped(failure.Unwrap()))
		case failure != nil && failure.Written && !x.req.Idempotent:
			return true, unknown(asTyped(failure.Unwrap()))
		case failure != nil:
			x.written = x.written || failure.Written
			continue
		case x.ownerDeclined(answer):
			answer.Finish()
			continue
		}
		return x.relay(ctx, owner, answer)
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

// ownerDeclined reports whether the owner did not run the request for a reason
// of its own, so that another host may.
func (x *exchange) ownerDeclined(answer *upstream.Answer) bool {
	if Outcome(answer.Header.Get(HeaderOutcome)) != OutcomeNotRun {
		return false
	}
	switch errs.Kind(answer.Header.Get(HeaderKind)) {
	case errs.KindStaleHost, errs.KindNoRoute, errs.KindDialFailed:
		return true
	default:
		return false
	}
}

// relay passes an owner's answer to the caller.
func (x *exchange) relay(ctx context.Context, owner world.OwnerView, answer *upstream.Answer) (done bool, err error) {
	if answer.Header.Get(protocol.HeaderRequestID) != x.req.ID || answer.Header.Get(HeaderOutcome) == "" {
		answer.Discard()
		return true, unknown(errs.New(errs.KindWrongAnswer, "owner host "+owner.Host+" sent another request's answer", "ask for the outcome before repeating a non-idempotent request"))
	}
	if x.written && Outcome(answer.Header.Get(HeaderOutcome)) == OutcomeNotRun {
		answer.Finish()
		return true, unknown(errs.New(errs.KindBroken, "an owner host broke off before owner host "+owner.Host+" refused the request", "repeat the request"))
	}
	x.headerArrived()
	tried := []string{owner.Host}
	copying := &copier{
		w:       x.w,
		answer:  answer,
		outcome: Outcome(answer.Header.Get(HeaderOutcome)),
		id:      x.req.ID,
		idName:  x.d.marks.RequestID,
		session: x.req.Session,
		reopen:  func(rangeHeaders rangeRequest) *upstream.Answer { return x.reopenAtOwner(ctx, rangeHeaders, &tried) },
		resumed: x.resumed,
	}
	copying.setResumable(x.req)
	if err := copying.run(); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true, nil
}

// reopenAtOwner continues a download at another owner.
func (x *exchange) reopenAtOwner(ctx context.Context, at rangeRequest, tried *[]string) *upstream.Answer {
	for _, owner := range ownersInOrder(x.view) {
		if slices.Contains(*tried, owner.Host) {
			continue
		}
		*tried = append(*tried, owner.Host)
		answer, failure := x.send(ctx, x.toOwner(owner, func(h http.Header) {
			x.forwardHeaders(h)
			at.set(h)
		}))
		if failure == nil {
			return answer
		}
	}
	return nil
}

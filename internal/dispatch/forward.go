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

// otherHosts are the hosts that a request may be passed to, and the headers that it then carries.
type otherHosts struct {
	list    func() []world.OwnerView
	headers func(http.Header)
}

// forward sends the request to an owner host. done is false if no owner accepted it, it cannot
// have run anywhere, and this host should serve it itself.
func (x *exchange) forward(ctx context.Context) (done bool, err error) {
	owners := otherHosts{func() []world.OwnerView { return shuffleOwners(x.view) }, x.forwardHeaders}
	for _, owner := range owners.list() {
		response, failure := x.send(ctx, x.toOwner(owner, owners.headers))
		if failure != nil {
			if done, err := x.handleHostFailure(ctx, failure); done {
				return true, err
			}
			continue
		}
		if x.hostDeclined(response) {
			x.recordDecline(response)
			continue
		}
		return x.passResponse(ctx, owner, response, owners)
	}
	return false, nil
}

func (x *exchange) forwardHeaders(h http.Header) {
	h.Set(protocol.HeaderRequestID, x.req.ID)
	h.Set(protocol.HeaderDeadline, deadlineMs(x.req.Deadline))
	h.Set(HeaderForwardedBy, x.snap.Self.Host)
	h.Set(HeaderService, x.req.Service)
	h.Set(HeaderIdempotent, strconv.FormatBool(x.mayRepeat()))
	if x.req.Customer != "" {
		h.Set(protocol.HeaderCustomer, x.req.Customer)
	}
	if x.req.Explicit {
		h.Set(HeaderTimeout, deadlineMs(x.req.Deadline))
	}
}

// hostDeclined reports whether another host did not run the request for a reason that concerns
// only that host, so that another one may run it. A host that lost its path to the servers while
// it had an idempotent request has declined it too.
func (x *exchange) hostDeclined(response *upstream.Answer) bool {
	if !x.isForThisRequest(response, nil) {
		return false
	}
	kind := errs.Kind(response.Header.Get(HeaderKind))
	switch Outcome(response.Header.Get(HeaderOutcome)) {
	case OutcomeNotRun:
		return kind == errs.KindStaleHost || kind == errs.KindNoRoute || kind == errs.KindDialFailed || kind == errs.KindPathLost
	case OutcomeUnknown:
		return kind == errs.KindPathLost && x.mayRepeat()
	default:
		return false
	}
}

// passResponse passes another host's response to the caller. A download may be resumed at others.
func (x *exchange) passResponse(ctx context.Context, from world.OwnerView, response *upstream.Answer, others otherHosts) (done bool, err error) {
	outcome := Outcome(response.Header.Get(HeaderOutcome))
	if response.Header.Get(x.d.proto.RequestID) != x.req.ID || outcome == "" {
		response.Discard()
		return true, refuseUnknown(errs.New(errs.KindWrongAnswer, "host "+from.Host+" sent a response to another request", "ask for the outcome before repeating a non-idempotent request"))
	}
	if x.written && outcome == OutcomeNotRun {
		response.DrainAndClose()
		return true, refuseUnknown(errs.New(errs.KindAnswerBroken, "the connection to another host broke before host "+from.Host+" refused the request", "repeat the request"))
	}
	if outcome != OutcomeNotRun {
		x.written = true
		x.attemptsArrived++ // a resumed download is a retry
	}
	x.headerArrived()
	tried := []string{from.Host}
	copier := &responseCopier{
		w:        x.w,
		response: response,
		outcome:  outcome,
		id:       x.req.ID,
		idHeader: x.d.proto.RequestID,
		session:  x.req.Session,
		reopen:   func(at rangeRequest) *upstream.Answer { return x.reopenAtHost(ctx, at, others, &tried) },
		onResume: x.recordResume,
	}
	copier.setResumable(x.req)
	if err := copier.run(); err != nil {
		if x.relayed {
			x.logRequest(refuseUnknown(toTypedError(err)))
		}
		panic(http.ErrAbortHandler)
	}
	return true, nil
}

// reopenAtHost resumes a download through another host.
func (x *exchange) reopenAtHost(ctx context.Context, at rangeRequest, others otherHosts, tried *[]string) *upstream.Answer {
	for _, host := range others.list() {
		if slices.Contains(*tried, host.Host) {
			continue
		}
		*tried = append(*tried, host.Host)
		response, failure := x.send(ctx, x.toOwner(host, func(h http.Header) {
			others.headers(h)
			at.setHeaders(h)
		}))
		if failure != nil {
			continue
		}
		if x.isForThisRequest(response, nil) {
			return response
		}
		response.Discard()
	}
	return nil
}

package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// judge decides what one send of the request came to.
func (x *exchange) judge(ctx context.Context, lease *place, got fetched) (done bool, refusal *Refusal) {
	if got.failure != nil {
		return false, x.failed(ctx, lease, got.failure)
	}
	answer := got.answer
	x.arrived++
	noteLoad(lease, got.said)
	lease.try.said = describe(got.said)
	lease.try.limited = got.said.Limit.Named
	if got.kind == answerNotRun {
		return false, x.notRunBy(lease, answer)
	}
	x.written = true
	x.ran++
	if got.kind == answerForeign {
		return false, x.wrongAnswer(lease, answer)
	}
	if got.broken != nil {
		answer.Discard()
		lease.try.end("cut-short")
		x.noteFate(lease)
		x.tried = append(x.tried, lease.Server.ID)
		x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
		return false, unknown(x.whyBroken(ctx, got.broken))
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		return x.serverError(ctx, lease, answer)
	}
	x.pass(ctx, lease, answer)
	return true, nil
}

// notRunBy notes that the server did not run the request.
func (x *exchange) notRunBy(lease *place, answer *upstream.Answer) *Refusal {
	answer.Finish()
	lease.try.end("not-run/" + strconv.Itoa(answer.StatusCode))
	if x.isMisdirected(answer) {
		// Another server has the address: the one meant is gone.
		x.tried = append(x.tried, lease.Server.ID)
		x.observe(lease, peerpb.Observation_KIND_UNREACHABLE, 0)
	} else {
		x.shed(lease)
	}
	return notRunOrUnknown(x.written, errs.New(errs.KindShed, "backend server "+lease.Server.ID+" shed the request", "repeat the request after the time in Retry-After"))
}

// wrongAnswer drops an answer that is not this request's, or not the server's.
func (x *exchange) wrongAnswer(lease *place, answer *upstream.Answer) *Refusal {
	answer.Discard()
	lease.try.end("wrong-answer")
	x.tried = append(x.tried, lease.Server.ID)
	x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
	x.d.events.Record(event.RequestWrong, x.req.Service, lease.Server.ID, "answer carries another request's ID, or no signature")
	return unknown(errs.New(errs.KindWrongAnswer, "backend server "+lease.Server.ID+" sent an answer that is not this request's", "ask for the outcome before repeating a non-idempotent request"))
}

// whyBroken tells a deadline that passed while a body was read from a break.
func (x *exchange) whyBroken(ctx context.Context, err error) *errs.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return errs.Wrap(err, errs.KindDeadline, "the answer was not whole in time", "allow more time or ask for the outcome")
	}
	return asTyped(err)
}

// shed notes that a server had no slot. A borrowed slot was a guess: it is paid
// from the budget, and the request may still wait for a slot of this host's own.
func (x *exchange) shed(lease *place) {
	lease.done.Outcome = policy.Shed
	if lease.Borrowed {
		x.state.budget.charge()
		x.borrowed = true
		x.free = true
		return
	}
	x.tried = append(x.tried, lease.Server.ID)
}

// serverError tries an idempotent request elsewhere, and passes the server's
// own error on where that is not possible.
func (x *exchange) serverError(ctx context.Context, lease *place, answer *upstream.Answer) (done bool, refusal *Refusal) {
	x.tried = append(x.tried, lease.Server.ID)
	elsewhere := x.req.Idempotent && x.ran < x.req.attempts() && len(x.tried) < len(x.view.Backends)
	if x.waiting == 0 && (!elsewhere || !x.mayRetry()) {
		x.pass(ctx, lease, answer)
		return true, nil
	}
	answer.Finish()
	lease.try.end("error/" + strconv.Itoa(answer.StatusCode))
	x.observe(lease, peerpb.Observation_KIND_FAILED, answer.FirstByte)
	return false, unknown(errs.New(errs.KindBroken, "backend server "+lease.Server.ID+" answered with an error", "repeat the request"))
}

// isMisdirected reports whether the server is not the one that was meant.
func (x *exchange) isMisdirected(answer *upstream.Answer) bool {
	return x.d.marks.Target != "" && answer.StatusCode == http.StatusMisdirectedRequest
}

// isOwn checks that an answer belongs to this request and is the server's own.
func (x *exchange) isOwn(answer *upstream.Answer) bool {
	return x.isAnswerTo(answer, x.view)
}

func (x *exchange) isAnswerTo(answer *upstream.Answer, view *world.ServiceView) bool {
	marks := x.d.marks
	success := answer.StatusCode < http.StatusMultipleChoices
	if success && marks.Signature != "" && answer.Header.Get(marks.Signature) == "" {
		return false
	}
	if marks.PlainBodies && answer.Header.Get("Content-Encoding") != "" {
		return false
	}
	return x.isEcho(answer, view)
}

// isEcho reports whether an answer names this request.
func (x *exchange) isEcho(answer *upstream.Answer, view *world.ServiceView) bool {
	echo := answer.Header.Get(x.d.marks.RequestID)
	if echo == "" {
		return view.Config.AllowMissingEcho
	}
	return echo == x.req.ID
}

package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
)

// trial sends a copy of the request to a doubted server, if one is due; see policy.Trial.
func (r *race) trial(ctx context.Context, first *place) {
	x := r.x
	lease, due := x.d.balance.Trial(x.view, x.requestBeside(first))
	if !due {
		return
	}
	x.d.metrics.Retry(x.req.Service, true)
	r.launch(ctx, balancedPlace(lease), purposeTrial)
}

// keepTrial lets a trial go on after its caller has been answered, because its outcome says
// whether the server has recovered. It reports false if f is no trial, has had its time, or
// the caller has gone: nothing is worked on for a caller that left.
func (x *exchange) keepTrial(f *flight) bool {
	left := f.place.lease.TrialFor - time.Since(f.place.try.began)
	if left <= 0 || x.req.in.Context().Err() != nil || !f.detach() {
		return false
	}
	timer := time.AfterFunc(left, f.cancel)
	go func() {
		got := <-f.result
		timer.Stop()
		x.noteTrial(f.place, got)
		f.place.Release()
		f.cancel()
	}()
	return true
}

// noteTrial notes what a trial came to whose caller has its answer already. It changes
// nothing of the exchange, which is over.
func (x *exchange) noteTrial(lease *place, got fetched) {
	lease.done.Took = time.Since(lease.try.began)
	if got.failure != nil {
		lease.done.Unsent = !got.failure.Written
		x.noteFailedTrial(lease, asTyped(got.failure.Unwrap()).Kind, got.failure.Dialled)
		return
	}
	answer := got.answer
	noteLoad(lease, got.said)
	switch {
	case got.kind == answerNotRun && x.isMisdirected(answer):
		x.observe(lease, peerpb.Observation_KIND_UNREACHABLE, 0)
	case got.kind == answerNotRun:
		lease.done.Outcome = policy.Shed
	case got.kind == answerForeign || got.broken != nil:
		x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
		answer.Discard()
		return
	case answer.StatusCode >= http.StatusInternalServerError:
		x.observe(lease, peerpb.Observation_KIND_FAILED, answer.FirstByte)
	default:
		x.noteServed(answer.StatusCode)
		x.observe(lease, peerpb.Observation_KIND_GOOD, answer.FirstByte)
	}
	answer.Finish()
}

func (x *exchange) noteFailedTrial(lease *place, kind errs.Kind, dialled bool) {
	switch {
	case isWithheld(kind):
		lease.done.Outcome = policy.Neutral
	case kind == errs.KindCanceled || kind == errs.KindDeadline:
		lease.done.Outcome = policy.Abandoned // its time was over
	case !dialled:
		x.observe(lease, peerpb.Observation_KIND_UNREACHABLE, 0)
	default:
		x.fateOf(lease) // its request has its line in the log already
		x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
	}
}

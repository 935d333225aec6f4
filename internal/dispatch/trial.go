package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
)

// sendTrial sends a copy of the request to a server believed to be failing if a trial is due;
// see policy.Table.PlaceTrial.
func (h *hedge) sendTrial(ctx context.Context, first *serverLease) {
	x := h.x
	lease, due := x.d.balance.PlaceTrial(x.view, x.copyPolicyRequest(first))
	if !due {
		return
	}
	x.d.metrics.Retry(x.req.Service, true)
	h.start(ctx, balancedLease(lease), purposeTrial)
}

// detachTrial lets a trial continue after its caller has been answered, because its outcome
// says whether the server has recovered. It returns false if p is not a trial, has used up its
// time, or the caller has disconnected: no work is done for a caller that is gone.
func (x *exchange) detachTrial(p *pendingSend) bool {
	left := p.lease.balanced.TrialTimeout - time.Since(p.lease.attempt.startedAt)
	if left <= 0 || x.req.in.Context().Err() != nil || !p.detach() {
		return false
	}
	timer := time.AfterFunc(left, p.cancel)
	go func() {
		result := <-p.result
		timer.Stop()
		x.recordTrial(p.lease, result)
		p.lease.Release()
		p.cancel()
	}()
	return true
}

// recordTrial records the outcome of a trial whose caller has already been answered. It does
// not modify the exchange, which has ended.
func (x *exchange) recordTrial(lease *serverLease, result sendResult) {
	lease.done.Elapsed = time.Since(lease.attempt.startedAt)
	if result.failure != nil {
		lease.done.Unsent = !result.failure.Written
		x.recordFailedTrial(lease, toTypedError(result.failure.Unwrap()).Kind, result.failure.Connected)
		return
	}
	response := result.response
	lease.done.NewConnection = !response.Reused
	reportLoad(lease, result.reported)
	switch {
	case result.kind == responseNotRun && x.isMisdirected(response):
		x.observe(lease, peerpb.Observation_KIND_UNREACHABLE, 0)
	case result.kind == responseNotRun:
		lease.done.Outcome = policy.Shed
	case result.kind == responseMismatched || result.truncated != nil:
		x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
		response.Discard()
		return
	case result.kind == responseUnproven, response.StatusCode >= http.StatusInternalServerError:
		x.observe(lease, peerpb.Observation_KIND_FAILED, response.FirstByte)
	default:
		x.recordServed(response.StatusCode)
		x.observe(lease, peerpb.Observation_KIND_GOOD, response.FirstByte)
	}
	response.DrainAndClose()
}

func (x *exchange) recordFailedTrial(lease *serverLease, kind errs.Kind, dialled bool) {
	switch {
	case isWithheld(kind):
		lease.done.Outcome = policy.Neutral
	case kind == errs.KindCanceled || kind == errs.KindDeadline:
		lease.done.Outcome = policy.Abandoned // the trial timed out
	case !dialled:
		x.observe(lease, peerpb.Observation_KIND_UNREACHABLE, 0)
	default:
		x.checkLiveness(lease) // the log line of its request has already been written
		x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
	}
}

package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// flight is one send of a request that may have a copy beside it.
type flight struct {
	place  *place
	cancel context.CancelFunc
	// detach keeps the end of the request from ending the flight.
	detach func() bool
	result chan fetched
}

// race is a request that may be at more than one server. The first whole answer
// wins; the others are cancelled at once.
type race struct {
	x       *exchange
	flights []*flight
	results chan *flight
}

// mayCopy reports whether the request may be sent to a second server while the
// first works on it.
func (x *exchange) mayCopy(lease *place) bool {
	return lease.lease != nil && !x.onTrial && x.req.Idempotent && x.req.body.isKept && x.ran+2 <= x.req.attempts()
}

// race sends the request to a server, and to a second one when the policy says so.
func (x *exchange) race(ctx context.Context, first *place) (done bool, refusal *Refusal) {
	r := &race{x: x, results: make(chan *flight, 2)}
	defer r.abandon()
	r.launch(ctx, first, x.purpose())
	r.trial(ctx, first)
	review := time.NewTimer(r.review(ctx, first))
	defer review.Stop()
	for {
		select {
		case f := <-r.results:
			done, refusal = r.finish(ctx, f)
			if done || x.waiting == 0 {
				return done, refusal
			}
		case <-review.C:
			if x.waiting == 1 && r.flights[0].place == first && x.ran+2 <= x.req.attempts() {
				review.Reset(r.review(ctx, first))
			}
		}
	}
}

// never is longer than any request takes.
const never = time.Hour

// review asks whether the request should have a copy now, and returns when to ask
// again.
func (r *race) review(ctx context.Context, first *place) time.Duration {
	x := r.x
	x.refresh()
	request := x.requestBeside(first)
	copyNow, after := x.d.balance.Review(x.view, request, first.lease)
	switch {
	case copyNow:
		r.copy(ctx, request)
		return never
	case after <= 0:
		return never
	default:
		return after
	}
}

// requestBeside is the request for a send to another server while one has it.
func (x *exchange) requestBeside(first *place) policy.Request {
	request := x.policyRequest()
	request.Beside = true
	request.FirstBelief = first.belief
	request.Exclude = slices.Concat(request.Exclude, []string{first.Server.ID})
	return request
}

// copy sends the request to a second server.
func (r *race) copy(ctx context.Context, request policy.Request) {
	lease, err := r.x.d.balance.Pick(r.x.view, request)
	if err != nil {
		return // all others are full: the first goes on alone
	}
	r.x.d.metrics.Retry(r.x.req.Service, true)
	r.launch(ctx, balancedPlace(lease), purposeCopy)
}

func (r *race) launch(ctx context.Context, place *place, why purpose) {
	x := r.x
	x.begin(place, why)
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	f := &flight{place: place, cancel: func() { cancel(context.Canceled) }, result: make(chan fetched, 1)}
	f.detach = context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	r.flights = append(r.flights, f)
	x.waiting++
	to := x.toServer(place)
	go func() {
		f.result <- x.fetchApart(own, to)
		r.results <- f
	}()
}

// finish judges what a flight brought. A good answer cancels the other flight
// before the caller gets it.
func (r *race) finish(ctx context.Context, f *flight) (done bool, refusal *Refusal) {
	got := <-f.result
	r.remove(f)
	r.x.waiting--
	if got.good() {
		r.abandon()
	}
	defer f.cancel()
	f.detach()
	defer f.place.Release()
	return r.x.judge(ctx, f.place, got)
}

func (r *race) remove(f *flight) {
	for i, other := range r.flights {
		if other == f {
			r.flights = append(r.flights[:i], r.flights[i+1:]...)
			return
		}
	}
}

// abandon cancels all that is under way.
func (r *race) abandon() {
	for _, f := range r.flights {
		r.x.waiting--
		r.x.ran++
		r.x.arrived++
		r.x.written = true
		f.place.try.end("abandoned")
		if r.x.keepTrial(f) {
			continue
		}
		f.cancel()
		r.x.giveUp(f.place)
		f.place.Release()
		go func() { (<-f.result).discard() }()
	}
	r.flights = nil
}

// giveUp notes that a server was left without having answered.
func (x *exchange) giveUp(lease *place) {
	lease.done.Outcome = policy.Abandoned
	lease.done.Took = lease.try.took
}

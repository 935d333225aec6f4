package replay

import (
	"math/rand/v2"

	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/waitqueue"
)

// queueStream is the first stream of random numbers that spread the hosts' looks for free slots.
const queueStream = 70_000

// newQueue gives a host that starts an empty wait queue.
func (h *host) newQueue() {
	random := rand.New(rand.NewPCG(h.fleet.seed, queueStream+uint64(h.number)))
	bounds := waitqueue.Bounds{Requests: waitqueue.DefaultRequests, Bytes: waitqueue.DefaultBytes}
	h.waits, h.waiting = waitqueue.NewSet(h.table, bounds, random), make(map[uint64]*request)
}

// requestEnded looks for a request that waits for the slot of one that has ended.
func (h *host) requestEnded(p *policy.Placement) {
	h.waits.RequestEnded(h.fleet.clock.Time(), p.Service())
	h.scheduleReview()
}

// loadReported looks for a request that waits for a slot that another host reports to be free.
func (h *host) loadReported() {
	h.waits.LoadReported(h.fleet.clock.Time())
	h.scheduleReview()
}

// scheduleReview calls reviewQueue when it is due.
func (h *host) scheduleReview() {
	if h.queueReview != nil {
		h.queueReview.Stop()
		h.queueReview = nil
	}
	if at := h.waits.ReviewAt(); !at.IsZero() {
		clock := h.fleet.clock
		h.queueReview = clock.After(at.Sub(clock.Time()), h.reviewQueue)
	}
}

func (h *host) reviewQueue() {
	h.queueReview = nil
	if h.isDown {
		return
	}
	for _, d := range h.waits.Review(h.fleet.clock.Time()) {
		r := h.waiting[d.ID]
		delete(h.waiting, d.ID)
		r.waitsAs = 0
		r.picked(d)
	}
	h.scheduleReview()
}

// stopWaiting takes a request that has ended out of the queue.
func (r *request) stopWaiting() {
	if r.waitsAs != 0 {
		r.host.waits.Remove(r.host.fleet.clock.Time(), r.waitsAs)
		delete(r.host.waiting, r.waitsAs)
		r.waitsAs = 0
	}
}

package replay

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// retryWait is a request that waits for a retry from another host.
type retryWait struct {
	request   *request
	otherwise outcome // of the request if none comes
	until     time.Duration
}

func (w *retryWait) allowRetry(again bool) policy.RetryDecision {
	h := w.request.host
	return h.table.AllowRetryOf(h.fleet.clock.Time(), w.request.policyRequest(), again)
}

// start lets the request wait, as long as its time lasts.
func (w *retryWait) start(wait time.Duration) {
	h := w.request.host
	w.until = h.fleet.clock.Now + wait
	h.awaiting = append(h.awaiting, w)
	h.tell()
	w.pollLater()
}

func (w *retryWait) pollLater() {
	w.request.host.fleet.clock.After(policy.RetryAskPeriod, func() {
		if w.poll() {
			w.pollLater()
		}
	})
}

// poll asks again for a retry, and reports whether the request goes on waiting.
func (w *retryWait) poll() bool {
	r, h := w.request, w.request.host
	i := slices.Index(h.awaiting, w)
	if i < 0 {
		return false
	}
	if r.over {
		h.awaiting = slices.Delete(h.awaiting, i, i+1)
		return false
	}
	decision := w.allowRetry(true)
	if !decision.Allowed && decision.Wait > 0 && h.fleet.clock.Now < w.until {
		h.tell()
		return true
	}
	h.awaiting = slices.Delete(h.awaiting, i, i+1)
	if decision.Allowed {
		r.place()
	} else {
		r.withhold(w.otherwise)
	}
	return false
}

// useGift lets the request that has waited longest use a retry that another host gave.
func (h *host) useGift() {
	for _, w := range slices.Clone(h.awaiting) {
		if !w.poll() {
			return
		}
	}
}

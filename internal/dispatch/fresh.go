package dispatch

import (
	"context"
	"time"

	"github.com/pearshelf/pearshelf/internal/boottime"
	"github.com/pearshelf/pearshelf/internal/errs"
)

const (
	// maxFreshWait is how long a request is held while this host's view is out of date after a
	// pause. Confirming the view takes a round trip to another host.
	maxFreshWait = 250 * time.Millisecond
	// freshPollInterval is how often a held request looks at the view.
	freshPollInterval = 5 * time.Millisecond
	// staleRetryAfter is the Retry-After of a request that was held in vain.
	staleRetryAfter = 250 * time.Millisecond
)

func staleHost() *errs.Error {
	return errs.New(errs.KindStaleHost, "this host was paused and its view is not up to date yet", "repeat the request after the time in Retry-After")
}

// awaitFresh holds the request until this host's view is up to date. It returns a refusal if that
// takes too long. It returns nil if the request ends meanwhile.
func (x *exchange) awaitFresh(ctx context.Context) *Refusal {
	if x.isFresh() {
		return nil
	}
	limit := time.NewTimer(min(maxFreshWait, time.Until(x.req.Deadline)))
	defer limit.Stop()
	poll := time.NewTicker(freshPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			if x.isFresh() {
				return nil
			}
		case <-limit.C:
			return refuseNotRun(staleHost(), staleRetryAfter)
		case <-ctx.Done():
			return nil
		}
	}
}

func (x *exchange) isFresh() bool { return x.d.snapshot().Fresh(time.Now(), boottime.Suspended()) }

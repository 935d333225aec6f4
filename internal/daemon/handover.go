package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/handover"
)

// handoverSearchInterval is how often a host that starts looks for others to ask.
const handoverSearchInterval = 10 * time.Millisecond

// handoverClient asks other hosts of the data centre, once after the start of this one, for what they
// know of servers.
type handoverClient struct {
	d       *Daemon
	answers chan *peerpb.HandoverResponse
}

// run asks until enough hosts have answered. It closes the daemon's informed channel then, or
// handover.SendDelay after the host is ready: requests wait for it.
func (h *handoverClient) run(ctx context.Context) {
	begin := time.Now()
	exchange := handover.New(begin, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	search := time.NewTicker(handoverSearchInterval)
	defer search.Stop()
	ready, late := h.d.engine.WhenReady(), make(<-chan time.Time)
	learned, waits := 0, true
	stopWaiting := func() {
		if waits {
			waits = false
			close(h.d.informed)
		}
	}
	defer stopWaiting()
	for !exchange.Done(time.Now()) {
		if sharing := h.d.engine.Snapshot().Sharing; sharing != nil {
			for _, address := range exchange.Ask(time.Now(), sharing.Segment()) {
				h.d.wg.Go(func() { h.ask(ctx, address) })
			}
		}
		select {
		case answer := <-h.answers:
			used := exchange.Answered(answer)
			h.d.metrics.HandoverAnswer(answer != nil, used)
			if used {
				learned += h.d.balance.Import(answer)
			}
		case <-search.C:
		case <-ready:
			ready, late = nil, time.After(handover.SendDelay)
		case <-late:
			stopWaiting()
		case <-ctx.Done():
			return
		}
	}
	h.d.metrics.HandoverDone(learned)
	klog.V(1).InfoS("state of other hosts", "asked", exchange.Asked(), "answers", exchange.Answers(), "servers", learned, "took", time.Since(begin).Round(time.Millisecond).String(), "late", !waits)
}

func (h *handoverClient) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, handover.AnswerTimeout)
	defer cancel()
	answer, err := h.d.clients.Peer(address).Handover(ctx, &peerpb.HandoverRequest{Host: h.d.settings.Host, DataCentre: h.d.settings.DataCentre})
	if err != nil {
		klog.V(3).InfoS("no state from peer", "peer", address, "err", err)
		answer = nil
	}
	select {
	case h.answers <- answer:
	case <-h.d.ctx.Done():
	}
}

package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/daemon"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// gate holds a host's requests and ticks while it is closed.
type gate struct {
	mu      sync.Mutex
	held    chan struct{}
	waiting atomic.Int64
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held != nil {
		close(g.held)
	}
	g.held = nil
}

func (g *gate) pass() {
	g.mu.Lock()
	held := g.held
	g.mu.Unlock()
	if held == nil {
		return
	}
	g.waiting.Add(1)
	<-held
}

// gated gives the first host a gate before its writes and one before its ticks.
func gated(writes, ticks *gate) option {
	return func(c *fleet.Config) {
		c.Hooks = func(i int) daemon.Hooks {
			if i > 0 {
				return daemon.Hooks{}
			}
			return daemon.Hooks{BeforeWrite: func(*dispatch.Request) { writes.pass() }, BeforeTick: ticks.pass}
		}
	}
}

var _ = Describe("a non-idempotent request runs at most once", func() {
	url := func(f *fleet.Fleet, i int) string {
		return "http://" + f.Hosts[i].CallerAddress() + "/shop/order"
	}

	It("when the same key comes through all hosts at once", func() {
		f := start(6, []config.Service{shop(3)}, longHorizon)
		const keys = 40
		var wg sync.WaitGroup
		var complete [keys]atomic.Int64
		for k := range keys {
			for i := range f.Hosts {
				wg.Go(func() {
					r, err := call("POST", url(f, i), "x", "Idempotency-Key", fmt.Sprint("key-", k))
					if err == nil && r.outcome() == "complete" {
						complete[k].Add(1)
					}
					if err == nil && r.outcome() == "not-run" && r.status != 503 {
						Fail("a duplicate may be told unknown, or that nothing ran")
					}
				})
			}
		}
		wg.Wait()
		for k := range keys {
			key := fmt.Sprint("key-", k)
			Expect(runs(f, key)).To(BeNumerically("<=", 1))
			Expect(complete[k].Load()).To(BeNumerically("<=", 1))
			if complete[k].Load() == 1 {
				continue
			}
			// On a busy machine the copy that others gave way to may not get its
			// claim in time, and nothing runs. A repeat then runs it.
			Eventually(func() string {
				return mustCall("POST", url(f, k%len(f.Hosts)), "x", "Idempotency-Key", key).outcome()
			}, patience).Should(Equal("complete"), "no copy ran, so a repeat must")
			Expect(runs(f, key)).To(Equal(1))
		}
	})

	It("when it is repeated through another host after an unknown outcome", func() {
		f := start(4, []config.Service{shop(2)}, longHorizon)
		for _, s := range f.Backends["shop"] {
			s.SetFaults(backend.Faults{CloseAfterRun: true})
		}
		for i := range f.Hosts {
			r := mustCall("POST", url(f, i), "x", "Idempotency-Key", "again")
			Expect(r.outcome()).To(Equal("unknown"))
		}
		Expect(runs(f, "again")).To(Equal(1))
	})

	It("and can be repeated with the same key after it was told as not run", func() {
		f := start(4, []config.Service{shop(1)}, longHorizon)
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{ShedRate: 1})
		Expect(mustCall("POST", url(f, 0), "x", "Idempotency-Key", "retry").outcome()).To(Equal("not-run"))
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{})
		Eventually(func() string {
			return mustCall("POST", url(f, 1), "x", "Idempotency-Key", "retry").outcome()
		}, patience).Should(Equal("complete"))
		Expect(runs(f, "retry")).To(Equal(1))
	})

	It("when a host freezes between its decision and its write", func() {
		writes, ticks := &gate{}, &gate{}
		f := start(4, []config.Service{shop(2)}, longHorizon, gated(writes, ticks))
		writes.close()
		ticks.close()
		DeferCleanup(writes.open)
		DeferCleanup(ticks.open)
		done := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			done <- mustCall("POST", url(f, 0), "x", "Idempotency-Key", "frozen")
		}()
		Eventually(writes.waiting.Load, patience).Should(BeNumerically(">=", 1))
		Eventually(ticks.waiting.Load, patience).Should(BeNumerically(">=", 1))
		waitStale(f.Hosts[0])
		writes.open() // the request wakes before the host's view is fresh
		var r reply
		Eventually(done, patience).Should(Receive(&r))
		Expect(r.outcome()).To(Equal("not-run"), r.body)
		Expect(runs(f, "frozen")).To(BeZero())
		ticks.open()
		Eventually(func() string {
			return mustCall("POST", url(f, 0), "x", "Idempotency-Key", "frozen").outcome()
		}, patience).Should(Equal("complete"))
		Expect(runs(f, "frozen")).To(Equal(1))
	})

	It("when hosts are killed while requests are in flight", func() {
		f := start(6, []config.Service{shop(3)}, longHorizon, serviceTime)
		var wg sync.WaitGroup
		const keys = 60
		for k := range keys {
			for attempt := range 3 {
				wg.Go(func() { _, _ = call("POST", url(f, (k+attempt)%6), "x", "Idempotency-Key", fmt.Sprint("kill-", k)) })
			}
			if k == keys/3 {
				wg.Go(f.Hosts[4].Kill)
			}
			if k == keys/2 {
				f.Backends["shop"]["b1"].Close()
			}
		}
		wg.Wait()
		for k := range keys {
			Expect(runs(f, fmt.Sprint("kill-", k))).To(BeNumerically("<=", 1))
		}
	})

	It("when the fleet is cut apart and the same key comes to both sides", func() {
		f := start(6, []config.Service{shop(3)}, longHorizon, withLinks)
		f.Links[4].Cut(true, true)
		f.Links[5].Cut(true, false)
		var wg sync.WaitGroup
		for k := range 20 {
			for _, i := range []int{0, 3, 4, 5} {
				wg.Go(func() {
					_, _ = call("POST", url(f, i), "x", "Idempotency-Key", fmt.Sprint("cut-", k), "Pearshelf-Timeout-Ms", "3000")
				})
			}
		}
		wg.Wait()
		for k := range 20 {
			Expect(runs(f, fmt.Sprint("cut-", k))).To(BeNumerically("<=", 1))
		}
	})
})

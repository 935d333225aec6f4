package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// storm plants two faults at a time from a seed while callers repeat requests
// through different hosts.
type storm struct {
	f    *fleet.Fleet
	seed uint64

	mu      sync.Mutex
	replies map[string][]reply // by key; a broken stream is no reply
	broken  map[string]bool
}

// repeatFor is less than the horizon by more than one request's time.
const repeatFor = time.Second

var serverFaults = []backend.Faults{
	{ErrorRate: 0.6}, {ResetRate: 0.5}, {WrongIDRate: 0.5}, {CutRate: 0.5}, {CloseAfterRun: true},
	{SlowFactor: 10}, {ShedRate: 1}, {Draining: true}, {},
}

// weather changes two things at a time until ctx ends, then heals all.
func (s *storm) weather(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.seed, 5))
	for ctx.Err() == nil {
		id := fmt.Sprintf("b%d", rng.IntN(4)+1)
		s.f.Backends["shop"][id].SetFaults(serverFaults[rng.IntN(len(serverFaults))])
		link := s.f.Links[rng.IntN(len(s.f.Links))]
		link.Cut(rng.IntN(2) == 0, rng.IntN(2) == 0)
		s.f.Platform.SetDown(rng.IntN(2) == 0)
		wait(ctx, 200*time.Millisecond)
		link.Cut(false, false)
	}
	for _, server := range s.f.Backends["shop"] {
		server.SetFaults(backend.Faults{})
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// caller sends keys one after another and repeats each until it is complete.
func (s *storm) caller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(n)))
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("storm-%d-%d-%d.", s.seed, n, i)
		// A key is one request for the horizon; repeats stay well within it.
		for first := time.Now(); time.Since(first) < repeatFor; {
			host := s.f.Hosts[rng.IntN(len(s.f.Hosts))]
			r, err := call("POST", "http://"+host.CallerAddress()+"/shop/order", key, "Idempotency-Key", key, "Pearshelf-Timeout-Ms", "300")
			s.note(key, r, err)
			if err == nil && r.outcome() == "complete" {
				break
			}
		}
	}
}

func (s *storm) note(key string, r reply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || r.bodyErr != nil {
		s.broken[key] = true
		return
	}
	s.replies[key] = append(s.replies[key], r)
}

// check holds every key against what the servers really ran.
func (s *storm) check() (complete int) {
	GinkgoHelper()
	for key, replies := range s.replies {
		ran := runs(s.f, key)
		Expect(ran).To(BeNumerically("<=", 1), "%s ran %d times", key, ran)
		allNotRun := !s.broken[key]
		for _, r := range replies {
			allNotRun = allNotRun && r.outcome() == "not-run"
			if r.outcome() != "complete" {
				continue
			}
			Expect(ran).To(Equal(1), "%s is complete", key)
			if r.status == 200 {
				complete++
				Expect(strings.HasSuffix(r.body, "body="+key)).To(BeTrue(), "%s got %s", key, r.body)
			}
		}
		if allNotRun {
			Expect(ran).To(BeZero(), "%s was told as not run", key)
		}
	}
	return complete
}

var _ = Describe("under two faults at a time", func() {
	for seed := range uint64(3) {
		It(fmt.Sprintf("every promise to callers holds, seed %d", seed), func() {
			f := start(6, []config.Service{shop(4)}, longHorizon, withLinks, serviceTime)
			s := &storm{f: f, seed: seed, replies: make(map[string][]reply), broken: make(map[string]bool)}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			wg.Go(func() { s.weather(ctx) })
			for n := range 8 {
				wg.Go(func() { s.caller(ctx, n) })
			}
			wg.Wait()
			Expect(s.check()).To(BeNumerically(">", 20))
		})
	}
})

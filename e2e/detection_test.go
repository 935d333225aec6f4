package e2e

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// flow sends idempotent requests through all hosts until the test ends.
func flow(f *fleet.Fleet) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, d := range f.Hosts {
		wg.Go(func() {
			for ctx.Err() == nil {
				_, _ = call("GET", "http://"+d.CallerAddress()+"/shop/read/x", "")
			}
		})
	}
	DeferCleanup(func() {
		cancel()
		wg.Wait()
	})
}

func stateEverywhere(f *fleet.Fleet, id string, want world.BackendState) func() bool {
	return func() bool {
		for _, d := range f.Hosts {
			if _, state := fleet.Rotation(d, "shop", id); state != want {
				return false
			}
		}
		return true
	}
}

var _ = Describe("a gray backend server", func() {
	It("that answers its health checks is ejected by all hosts, and returns when mended", func() {
		svc := shop(5)
		svc.Probe.Path = "/shop/read/probe"
		f := start(6, []config.Service{svc}, serviceTime)
		flow(f)
		f.Backends["shop"]["b2"].SetFaults(backend.Faults{ErrorRate: 0.7})
		Eventually(stateEverywhere(f, "b2", world.BackendEjected), patience).Should(BeTrue())
		f.Backends["shop"]["b2"].SetFaults(backend.Faults{})
		Eventually(func() bool {
			rotation, state := fleet.Rotation(f.Hosts[0], "shop", "b2")
			return rotation.In && state != world.BackendEjected
		}, patience).Should(BeTrue())
		for _, id := range []string{"b1", "b3", "b4", "b5"} {
			for _, d := range f.Hosts {
				for _, e := range d.Events().Since(world.UnixEpoch) {
					Expect(e.Number == event.BackendEjected && e.Backend == id).To(BeFalse(), "%s ejected by mistake", id)
				}
			}
		}
	})

	It("stays as a last choice where its service would fall below the floor", func() {
		svc := shop(3)
		svc.Floor = 3
		f := start(3, []config.Service{svc}, serviceTime)
		flow(f)
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{ErrorRate: 1})
		Eventually(stateEverywhere(f, "b1", world.BackendEjected), patience).Should(BeTrue())
		for _, d := range f.Hosts {
			rotation, _ := fleet.Rotation(d, "shop", "b1")
			Expect(rotation.In).To(BeTrue())
			Expect(rotation.Reason).To(Equal("kept-for-floor"))
		}
	})
})

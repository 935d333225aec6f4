package e2e

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// nearShop is a shop whose servers are in the first host's data centre: a host sees to the use of
// the servers of its own.
func nearShop(n int) config.Service {
	svc := shop(n)
	for i := range svc.Backends {
		svc.Backends[i].DataCentre = "dc1"
	}
	return svc
}

var _ = Describe("hosts that pick directly, and a server that leaves requests unanswered", func() {
	// hanging starts a fleet whose most used server hangs, once usual times are known.
	hanging := func() (f *fleet.Fleet, url string, hung *backend.Server) {
		f = start(1, []config.Service{nearShop(3)}, direct)
		url = "http://" + f.Hosts[0].CallerAddress()
		for i := range 60 {
			mustCall("GET", url+"/shop/read/"+fmt.Sprint(i), "")
		}
		for _, b := range f.Backends["shop"] {
			if hung == nil || b.Served() > hung.Served() {
				hung = b
			}
		}
		hung.SetFaults(backend.Faults{Hang: true})
		return f, url, hung
	}

	// order sends 30 orders at the same moment, with keys from first on.
	order := func(url string, first int) int {
		const orders = 30
		var wg sync.WaitGroup
		for i := range orders {
			wg.Go(func() {
				defer GinkgoRecover()
				r, err := call("POST", url+"/shop/order", "x", "Idempotency-Key", fmt.Sprint("copy-", first+i), "Pearshelf-Timeout-Ms", "1500")
				Expect(err).NotTo(HaveOccurred())
				Expect(r.outcome()).To(BeElementOf("complete", "unknown"))
			})
		}
		wg.Wait()
		return orders
	}

	It("serves idempotent requests by a copy, long before their time is over", func() {
		_, url, hung := hanging()
		before := hung.Served()
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				defer GinkgoRecover()
				r, err := call("GET", url+"/shop/read/"+fmt.Sprint(i), "", "Pearshelf-Timeout-Ms", "20000")
				Expect(err).NotTo(HaveOccurred())
				Expect(r.outcome()).To(Equal("complete"))
				Expect(r.body).To(ContainSubstring("request=" + r.header.Get("Pearshelf-Request-Id") + " "))
			})
		}
		wg.Wait()
		Expect(hung.Served()).To(BeNumerically(">", before))
		// those that lost were cancelled: nothing is left at the server
		Eventually(hung.InUse, patience).Should(BeZero())
	})

	It("sends no second copy of a non-idempotent request", func() {
		f, url, hung := hanging()
		// Which server a host prefers may have changed since the reads: on a busy machine its
		// times differ. So orders are sent until the server that hangs has had some.
		before := hung.Served()
		sent := 0
		for start := time.Now(); hung.Served() == before && time.Since(start) < patience; {
			sent += order(url, sent)
		}
		Expect(hung.Served()).To(BeNumerically(">", before))
		for i := range sent {
			Expect(runs(f, fmt.Sprint("copy-", i))).To(BeNumerically("<=", 1))
		}
	})
})

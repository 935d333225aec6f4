package e2e

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// expectTrueRefusal checks that a refusal says not-run, names a time to come
// back, and that the request indeed ran nowhere.
func expectTrueRefusal(f *fleet.Fleet, r reply, key string) {
	GinkgoHelper()
	Expect(r.outcome()).To(Equal("not-run"), r.body)
	Expect(r.status).To(BeElementOf(http.StatusServiceUnavailable, http.StatusTooManyRequests))
	seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
	Expect(err).NotTo(HaveOccurred())
	Expect(seconds).To(BeNumerically(">=", 1))
	Expect(runs(f, key)).To(BeZero())
}

// runs counts the runs of a key over all backend servers.
func runs(f *fleet.Fleet, key string) int {
	total := 0
	for _, byID := range f.Backends {
		for _, s := range byID {
			total += s.Runs(key)
		}
	}
	return total
}

var _ = Describe("a request told as not run was not run", func() {
	order := func(f *fleet.Fleet, key string) reply {
		GinkgoHelper()
		return mustCall("POST", "http://"+f.Hosts[0].CallerAddress()+"/shop/order", "x", "Idempotency-Key", key)
	}

	It("when every server sheds", func() {
		f := start(2, []config.Service{shop(2)})
		for _, s := range f.Backends["shop"] {
			s.SetFaults(backend.Faults{ShedRate: 1})
		}
		expectTrueRefusal(f, order(f, "shed"), "shed")
	})

	It("when no server can be dialled", func() {
		f := start(2, []config.Service{shop(2)})
		for _, s := range f.Backends["shop"] {
			s.Close()
		}
		expectTrueRefusal(f, order(f, "dial"), "dial")
	})

	It("when no server is in rotation", func() {
		f := start(1, []config.Service{shop(1)})
		f.Document.Services[0].Backends[0].Leaving = true
		_, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool {
			rotation, _ := fleet.Rotation(f.Hosts[0], "shop", "b1")
			return rotation.In
		}, patience).Should(BeFalse())
		expectTrueRefusal(f, order(f, "none"), "none")
	})

	It("when the queue is full, at once", func() {
		svc := shop(1)
		svc.Slots = 1
		svc.Queue = 1
		svc.QueueWait = config.Duration(20 * time.Second)
		svc.Timeout = config.Duration(20 * time.Second)
		f := start(1, []config.Service{svc})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{Hang: true})
		var wg sync.WaitGroup
		url := "http://" + f.Hosts[0].CallerAddress() + "/shop/order"
		wg.Go(func() { _, _ = call("POST", url, "x") })
		Eventually(func() int { return f.Backends["shop"]["b1"].InUse() }, patience).Should(Equal(1))
		wg.Go(func() { // waits, also where one of the requests below has come before it
			for held, err := call("POST", url, "x"); err == nil && strings.Contains(held.header.Get("Proxy-Status"), "queue-full"); {
				held, err = call("POST", url, "x")
			}
		})
		var refused reply
		Eventually(func() string { // once the second is waiting
			refused = mustCall("POST", url, "x", "Idempotency-Key", "full", "Pearshelf-Timeout-Ms", "100")
			return refused.header.Get("Proxy-Status")
		}, patience).Should(ContainSubstring("queue-full"))
		expectTrueRefusal(f, refused, "full")
		f.Backends["shop"]["b1"].Close()
		wg.Wait()
	})

	It("when the customer's limit is reached", func() {
		f := start(1, []config.Service{shop(1)})
		f.Document.Customers = []config.Customer{{Name: "fan", KeyDigests: []string{customer.DigestOf("key-of-fan").String()}, PerSecond: 0.001, Burst: 1}}
		publishAndWait(f)
		url := "http://" + f.Hosts[0].CallerAddress() + "/shop/order"
		first := mustCall("POST", url, "x", "Authorization", "Bearer key-of-fan")
		Expect(first.outcome()).To(Equal("complete"))
		second := mustCall("POST", url, "x", "Authorization", "Bearer key-of-fan", "Idempotency-Key", "limit")
		Expect(second.status).To(Equal(http.StatusTooManyRequests))
		expectTrueRefusal(f, second, "limit")
	})

	It("when nobody holds the caller's key", func() {
		f := start(2, []config.Service{shop(1)})
		f.Document.Customers = []config.Customer{{Name: "fan", KeyDigests: []string{customer.DigestOf("key-of-fan").String()}}}
		publishAndWait(f)
		for _, h := range f.Hosts {
			url := "http://" + h.CallerAddress() + "/shop/order"
			Expect(mustCall("POST", url, "x", "Authorization", "Bearer key-of-fan").outcome()).To(Equal("complete"))
			refused := mustCall("POST", url, "x", "Authorization", "Bearer another", "Idempotency-Key", "unknown")
			Expect(refused.status).To(Equal(http.StatusUnauthorized))
			Expect(runs(f, "unknown")).To(BeZero())
		}
	})

	It("when a claim cannot be had, because hosts are too young to know", func() {
		f := start(3, []config.Service{shop(1)}, longHorizon)
		Expect(f.Restart(0)).To(Succeed())
		Expect(f.Restart(1)).To(Succeed())
		expectTrueRefusal(f, mustCall("POST", "http://"+f.Hosts[2].CallerAddress()+"/shop/order", "x", "Idempotency-Key", "young"), "young")
	})

	It("but a request that was written and got no answer is told as unknown", func() {
		f := start(2, []config.Service{shop(1)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{CloseAfterRun: true})
		r := order(f, "written")
		Expect(r.outcome()).To(Equal("unknown"))
		Expect(r.status).To(Equal(502))
		Expect(runs(f, "written")).To(Equal(1))
	})

	It("and a request that ran out of time after the write is told as unknown", func() {
		f := start(2, []config.Service{shop(1)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{Hang: true})
		r := mustCall("POST", "http://"+f.Hosts[0].CallerAddress()+"/shop/order", "x",
			"Idempotency-Key", "late", "Pearshelf-Timeout-Ms", "200")
		Expect(r.outcome()).To(Equal("unknown"))
		Expect(r.status).To(Equal(504))
		Expect(runs(f, "late")).To(Equal(1))
	})
})

package e2e

import (
	"fmt"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

var _ = Describe("every caller gets its own whole answer", func() {
	// storm sends requests through all hosts at once and returns the replies
	// with the body that each request sent.
	storm := func(f *fleet.Fleet, method, path string, n int) map[string]reply {
		var mu sync.Mutex
		var wg sync.WaitGroup
		replies := make(map[string]reply)
		for i := range n {
			wg.Go(func() {
				defer GinkgoRecover()
				body := fmt.Sprintf("caller-%d-", i)
				host := f.Hosts[i%len(f.Hosts)]
				r, err := call(method, "http://"+host.CallerAddress()+path, body)
				if err != nil {
					return // an aborted stream is no complete answer
				}
				mu.Lock()
				defer mu.Unlock()
				replies[body] = r
			})
		}
		wg.Wait()
		return replies
	}

	expectOwn := func(replies map[string]reply) (complete int) {
		GinkgoHelper()
		for body, r := range replies {
			if r.outcome() != "complete" || r.bodyErr != nil || r.status != http.StatusOK {
				continue
			}
			complete++
			Expect(r.body).To(ContainSubstring("body=" + body))
			Expect(r.body).To(ContainSubstring("request=" + r.header.Get("Pearshelf-Request-Id") + " "))
		}
		return complete
	}

	It("never passes on an answer with another request's ID", func() {
		f := start(3, []config.Service{shop(3)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{WrongIDRate: 1})
		replies := storm(f, "POST", "/shop/read/x", 120)
		Expect(expectOwn(replies)).To(BeNumerically(">", 0))
		for _, r := range replies {
			Expect(r.body).NotTo(ContainSubstring("server=shop-b1"))
		}
	})

	It("tells a non-idempotent caller the truth about a wrong answer", func() {
		f := start(1, []config.Service{shop(1)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{WrongIDRate: 1})
		r := mustCall("POST", "http://"+f.Hosts[0].CallerAddress()+"/shop/order", "x", "Idempotency-Key", "wrong")
		Expect(r.outcome()).To(Equal("unknown"))
		Expect(r.status).To(Equal(502))
		Expect(runs(f, "wrong")).To(Equal(1))
	})

	It("aborts a stream that was cut short", func() {
		f := start(2, []config.Service{shop(1)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{CutRate: 1})
		replies := storm(f, "POST", "/shop/order", 20)
		Expect(f.Backends["shop"]["b1"].Served()).To(BeNumerically(">", 0))
		for _, r := range replies { // streams cut before their header are no replies
			Expect(r.outcome() == "complete" && r.bodyErr == nil).To(BeFalse())
		}
	})

	It("keeps answers apart while servers fail in every way at once", func() {
		f := start(3, []config.Service{shop(4)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{WrongIDRate: 0.3, ErrorRate: 0.3})
		f.Backends["shop"]["b2"].SetFaults(backend.Faults{CutRate: 0.4, ResetRate: 0.2})
		replies := storm(f, "POST", "/shop/read/x", 300)
		Expect(expectOwn(replies)).To(BeNumerically(">", 100))
	})

	It("continues a download from another server", func() {
		f := start(3, []config.Service{shop(3)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{CutRate: 1})
		f.Backends["shop"]["b2"].SetFaults(backend.Faults{CutRate: 1})
		for i := range 6 {
			host := f.Hosts[i%3]
			r := mustCall("GET", "http://"+host.CallerAddress()+"/download/list", "")
			Expect(r.bodyErr).NotTo(HaveOccurred())
			Expect(r.body).To(HaveLen(16 << 16))
			Expect(r.body[len(r.body)-16:]).To(Equal("0123456789abcdef"))
		}
	})

	It("aborts a download that cannot be continued", func() {
		f := start(1, []config.Service{shop(1)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{CutRate: 1})
		r := mustCall("GET", "http://"+f.Hosts[0].CallerAddress()+"/download/list", "")
		Expect(r.bodyErr).To(HaveOccurred())
	})
})

var _ = Describe("connections to healthy servers", func() {
	It("are kept while many requests share them, and none breaks", func() {
		f := start(3, []config.Service{shop(3)}, serviceTime)
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				defer GinkgoRecover()
				for range 60 {
					r, err := call("POST", "http://"+f.Hosts[i%3].CallerAddress()+"/shop/order", "x")
					Expect(err).NotTo(HaveOccurred())
					Expect(r.outcome()).To(Equal("complete"), r.body)
				}
			})
		}
		wg.Wait()
	})
})

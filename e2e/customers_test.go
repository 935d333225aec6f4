package e2e

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

const keyOfFan = "key-of-fan"

// fanWithLimit is a customer that may make so many requests, and then as good as none.
func fanWithLimit(requests float64) config.Customer {
	return config.Customer{Name: "fan", KeyDigests: []string{customer.DigestOf(keyOfFan).String()}, PerSecond: 0.001, Burst: requests}
}

// spend sends requests of the customer to all hosts in turn, and returns how many passed.
func spend(f *fleet.Fleet, requests int) int {
	GinkgoHelper()
	passed := 0
	for i := range requests {
		host := f.Hosts[i%len(f.Hosts)]
		r := mustCall("POST", "http://"+host.CallerAddress()+"/shop/order", "x", "Authorization", "Bearer "+keyOfFan, "Idempotency-Key", fmt.Sprint("spend-", i))
		if r.status == http.StatusOK {
			passed++
		} else {
			Expect(r.status).To(Equal(http.StatusTooManyRequests))
		}
	}
	return passed
}

var _ = Describe("a customer's limit", func() {
	It("holds over all hosts together, with customers and use shown", func() {
		f := start(4, []config.Service{shop(2)})
		const burst = 12
		f.Document.Customers = []config.Customer{fanWithLimit(burst)}
		publishAndWait(f)
		passed := spend(f, 8*burst)
		// Each host may let one pass more that has just met the fleet.
		Expect(passed).To(BeNumerically(">", 0))
		Expect(passed).To(BeNumerically("<=", burst+len(f.Hosts)))
	})

	It("of one customer takes nothing from another", func() {
		f := start(2, []config.Service{shop(2)})
		f.Document.Customers = []config.Customer{
			fanWithLimit(1),
			{Name: "venue", KeyDigests: []string{customer.DigestOf("key-of-venue").String()}},
		}
		publishAndWait(f)
		Expect(spend(f, 20)).To(BeNumerically("<", 5))
		for _, d := range f.Hosts {
			for range 10 {
				r := mustCall("POST", "http://"+d.CallerAddress()+"/shop/order", "x", "Authorization", "Bearer key-of-venue")
				Expect(r.status).To(Equal(http.StatusOK), r.body)
			}
		}
	})
})

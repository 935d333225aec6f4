package e2e

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
)

var _ = Describe("the whole path", func() {
	It("serves a request through every host", func() {
		f := start(3, []config.Service{shop(3)})
		for i, d := range f.Hosts {
			body := fmt.Sprintf("hello-%d", i)
			r := mustCall("POST", "http://"+d.CallerAddress()+"/shop/order", body)
			Expect(r.status).To(Equal(200), r.body)
			Expect(r.outcome()).To(Equal("complete"))
			Expect(r.body).To(ContainSubstring("body=" + body))
			Expect(r.body).To(ContainSubstring("request=" + r.header.Get("Pearshelf-Request-Id")))
		}
	})

	It("answers an unknown route with a problem document", func() {
		f := start(1, []config.Service{shop(1)})
		r := mustCall("GET", "http://"+f.Hosts[0].CallerAddress()+"/nowhere", "")
		Expect(r.status).To(Equal(404))
		Expect(r.outcome()).To(Equal("not-run"))
		Expect(r.header.Get("Content-Type")).To(Equal("application/problem+json"))
		Expect(r.body).To(ContainSubstring(`"remedy"`))
	})
})

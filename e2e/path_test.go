package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
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

	It("refuses requests with bodies one after another on one connection", func() {
		f := start(1, []config.Service{shop(1)})
		one := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		for n := range 50 {
			resp, err := one.Post("http://"+f.Hosts[0].CallerAddress()+"/nowhere", "text/plain", strings.NewReader("body"))
			Expect(err).NotTo(HaveOccurred(), "request %d", n)
			_, err = io.Copy(io.Discard, resp.Body)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(404))
		}
	})

	It("streams a body of unknown length both ways", func() {
		f := start(3, []config.Service{shop(2)})
		reader, writer := io.Pipe()
		go func() {
			for range 100 {
				_, _ = io.WriteString(writer, strings.Repeat("z", 1000))
			}
			writer.Close()
		}()
		resp, err := http.Post("http://"+f.Hosts[0].CallerAddress()+"/shop/order", "text/plain", reader)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(raw), "z")).To(Equal(100_000))
	})

	It("counts a refusal that an owner host gave as a refusal, and keeps its kind inside", func() {
		f := start(4, []config.Service{shop(1)})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{ShedRate: 1})
		for _, d := range f.Hosts { // at least one of them is no owner
			r := mustCall("POST", "http://"+d.CallerAddress()+"/shop/order", "x")
			Expect(r.outcome()).To(Equal("not-run"))
			Expect(r.header).NotTo(HaveKey("Pearshelf-Kind"))
			metrics := mustCall("GET", "http://"+d.OperatorAddress()+"/metrics", "")
			Expect(metrics.body).To(ContainSubstring(`pearshelf_requests_total{outcome="not-run",service="shop"} 1`))
		}
	})

	It("serves HTTP/2 without TLS", func() {
		f := start(3, []config.Service{shop(2)})
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		h2 := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		for i, d := range f.Hosts {
			resp, err := h2.Post("http://"+d.CallerAddress()+"/shop/order", "text/plain", strings.NewReader(fmt.Sprint("h2-", i)))
			Expect(err).NotTo(HaveOccurred())
			raw, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.ProtoMajor).To(Equal(2))
			Expect(string(raw)).To(ContainSubstring(fmt.Sprint("body=h2-", i)))
		}
	})

	It("takes no caller's word for being a host", func() {
		f := start(1, []config.Service{shop(1)})
		r := mustCall("POST", "http://"+f.Hosts[0].CallerAddress()+"/shop/order", "x",
			"Pearshelf-Forwarded-By", "h9", "Pearshelf-Request-Id", "forged", "Pearshelf-Service", "shop", "Pearshelf-Idempotent", "true")
		Expect(r.outcome()).To(Equal("complete"), r.body)
		Expect(r.header.Get("Pearshelf-Request-Id")).NotTo(Equal("forged"))
		Expect(r.body).NotTo(ContainSubstring("request=forged"))
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

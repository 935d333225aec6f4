package e2e

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// direct makes hosts pick servers by themselves.
func direct(c *fleet.Config) {
	before := c.Settings
	c.Settings = func(i int, s *settings.Settings) {
		before(i, s)
		forwarding := false
		s.Forwarding = &forwarding
		s.Retry = settings.Retry{FleetShare: 1, FleetReserve: 1000, Window: config.Duration(time.Second)}
	}
}

// ending makes servers end under requests for endingTarget.
func ending(c *fleet.Config) {
	before := c.Backend
	c.Backend = func(service string, b config.Backend) backend.Config {
		conf := before(service, b)
		conf.EndsOn = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, endingTarget) }
		return conf
	}
}

var endsMetric = regexp.MustCompile(`pearshelf_requests_at_ended_servers_total\{service="shop"\} (\d+)`)

// evidence sums, over all hosts, the requests whose servers ended under them.
func evidence(f *fleet.Fleet) int {
	GinkgoHelper()
	sum := 0
	for _, d := range f.Hosts {
		page := mustCall("GET", "http://"+d.OperatorAddress()+"/metrics", "")
		if m := endsMetric.FindStringSubmatch(page.body); m != nil {
			n, err := strconv.Atoi(m[1])
			Expect(err).NotTo(HaveOccurred())
			sum += n
		}
	}
	return sum
}

// What counts as the end of a server while it had a request, and what does not.
var _ = Describe("evidence that a request ends servers", func() {
	read := func(f *fleet.Fleet, path string) reply {
		GinkgoHelper()
		return mustCall("GET", "http://"+f.Hosts[0].CallerAddress()+path, "", "Pearshelf-Timeout-Ms", "1000")
	}

	It("is a server that ends while the request runs", func() {
		f := start(1, []config.Service{shop(3)}, direct, ending)
		Expect(read(f, endingTarget).outcome()).To(Equal("unknown"))
		Expect(evidence(f)).To(Equal(3))
	})

	It("is that at an owner host, too", func() {
		f := start(3, []config.Service{shop(3)}, ending)
		Expect(read(f, endingTarget).outcome()).To(Equal("unknown"))
		Expect(evidence(f)).To(BeNumerically(">", 0))
	})

	DescribeTable("is not", func(faults backend.Faults) {
		f := start(1, []config.Service{shop(2)}, direct, ending)
		for _, b := range f.Backends["shop"] {
			b.SetFaults(faults)
		}
		for i := range 5 {
			Expect(read(f, fmt.Sprint("/shop/read/", i)).outcome()).NotTo(BeEmpty())
		}
		Expect(evidence(f)).To(BeZero())
	},
		Entry("a connection that is reset by a server that lives on", backend.Faults{CloseAfterRun: true}),
		Entry("an answer that is lost, or a connection that goes silent", backend.Faults{Hang: true}),
		Entry("an answer that is cut short", backend.Faults{CutRate: 1}),
		Entry("an answer that is another request's", backend.Faults{WrongIDRate: 1}),
		Entry("an error", backend.Faults{ErrorRate: 1}),
		Entry("a server without room", backend.Faults{ShedRate: 1}),
	)

	It("is no server that ended before the request came", func() {
		f := start(1, []config.Service{shop(2)}, direct)
		f.Document.Services[0].Backends = append(f.Document.Services[0].Backends, config.Backend{ID: "gone", Address: "127.0.0.1:1"})
		_, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(f.Hosts[0].Snapshot().Services["shop"].Backends) }, patience).Should(Equal(3))
		for i := range 30 {
			Expect(read(f, fmt.Sprint("/shop/read/", i)).outcome()).To(Equal("complete"))
		}
		Expect(evidence(f)).To(BeZero())
	})

	It("is no server that ends after it was drained", func() {
		f := start(1, []config.Service{shop(1)}, direct)
		b := f.Backends["shop"]["b1"]
		b.SetFaults(backend.Faults{Hang: true})
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- mustCall("POST", "http://"+f.Hosts[0].CallerAddress()+"/shop/order", "x", "Pearshelf-Timeout-Ms", "30000")
		}()
		Eventually(b.InUse, patience).Should(Equal(1))
		f.Document.Services[0].Backends[0].Leaving = true
		_, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(f.Hosts[0].Snapshot().Services["shop"].Backends) }, patience).Should(BeZero())
		b.Close()
		Expect((<-answered).outcome()).To(Equal("unknown"))
		Expect(evidence(f)).To(BeZero())
	})

	It("is nothing that a host saw which stood still", func() {
		writes, ticks := &gate{}, &gate{}
		f := start(1, []config.Service{shop(1)}, direct, gated(writes, ticks))
		b := f.Backends["shop"]["b1"]
		b.SetFaults(backend.Faults{Hang: true})
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- mustCall("GET", "http://"+f.Hosts[0].CallerAddress()+"/shop/read/1", "", "Pearshelf-Timeout-Ms", "30000")
		}()
		Eventually(b.InUse, patience).Should(Equal(1))
		ticks.close()
		defer ticks.open()
		waitStale(f.Hosts[0])
		b.Close()
		Expect((<-answered).outcome()).To(Equal("unknown"))
		Expect(evidence(f)).To(BeZero())
	})
})

// What a caller of such a request is told, and what operators can do.
var _ = Describe("a request that ends servers", func() {
	It("is refused as not run by every host, until an operator lifts it", func() {
		f := start(3, []config.Service{shop(8)}, direct, ending)
		url := func(i int) string { return "http://" + f.Hosts[i].CallerAddress() }
		Expect(mustCall("GET", url(0)+endingTarget, "").outcome()).To(Equal("unknown")) // ends three
		for i := range f.Hosts {
			Eventually(func() int { return len(f.Hosts[i].Snapshot().Quarantine.All()) }, patience).Should(Equal(1))
			r := mustCall("GET", url(i)+endingTarget, "")
			Expect(r.status).To(Equal(503))
			Expect(r.outcome()).To(Equal("not-run"))
			Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(r.body).To(ContainSubstring("servers ended under this request"))
		}
		Expect(mustCall("GET", url(1)+endingTarget+"?other=1", "").outcome()).To(Equal("unknown")) // not the same one
		out, err := tool(f, 1, "show", "quarantine")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("held"))
		id := f.Hosts[0].Snapshot().Quarantine.All()
		for _, q := range id {
			_, err = tool(f, 2, "lift", "quarantine", q.Content.String())
			Expect(err).NotTo(HaveOccurred())
		}
		for i := range f.Hosts {
			Eventually(func() bool { return f.Hosts[i].Snapshot().Quarantine.Get(id[0].Content) == nil }, patience).Should(BeTrue())
		}
		_, err = tool(f, 0, "lift", "quarantine", id[0].Content.String())
		Expect(err).To(MatchError(ContainSubstring("not in quarantine")))
	})

	It("is told apart from others at the same servers by their answers", func() {
		f := start(2, []config.Service{shop(8)}, direct, ending, serviceTime)
		url := "http://" + f.Hosts[0].CallerAddress()
		for i := range 3 {
			done := make(chan reply, 8)
			for range 8 {
				go func() {
					defer GinkgoRecover()
					done <- mustCall("GET", url+"/shop/read/popular", "")
				}()
			}
			mustCall("GET", url+endingTarget+fmt.Sprint("?n=", i), "")
			for range 8 {
				<-done
			}
			if endedServers(f) > 5 {
				break
			}
		}
		Eventually(func() string { return mustCall("GET", url+"/shop/read/popular", "").outcome() }, patience, 10*time.Millisecond).Should(Equal("complete"))
	})
})

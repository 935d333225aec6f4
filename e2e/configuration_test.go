package e2e

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/operator"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/internal/system/placement"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

const shardKey = "services/" + fleet.Shard

// withPatientHosts gives hosts a machine's time to start: probes that a busy machine answers late
// would make hosts take others for dead and read in their place, and those that have waited for a
// configuration since direct_after would ask for it by themselves, both as they should.
func withPatientHosts(c *fleet.Config) {
	before := c.Settings
	c.Settings = func(i int, s *settings.Settings) {
		before(i, s)
		s.Timing.ProbeInterval = config.Duration(2 * time.Second)
		s.Timing.ProbeTimeout = config.Duration(time.Second)
		s.Platform.DirectAfter = config.Duration(time.Minute)
	}
}

// readersFirst returns the numbers of a fleet's hosts in the order in which they are to read the
// platform. Started in another order one after the other, as by a busy machine, each host that
// comes before all others so far is rightly a reader until the next one is there.
func readersFirst(f *fleet.Fleet) []int {
	nodes := make(map[string][]rendezvous.Node)
	numbers := make(map[string]int)
	for i := range f.Hosts {
		s := f.Settings(i)
		nodes[s.DataCentre] = append(nodes[s.DataCentre], rendezvous.NewNode(s.Host, s.DataCentre))
		numbers[s.Host] = i
	}
	orders := make([][]string, 0, len(nodes))
	for _, dataCentre := range slices.Sorted(maps.Keys(nodes)) {
		orders = append(orders, placement.ReaderOrder(nodes[dataCentre], func(string) uint32 { return 0 }))
	}
	var all []int
	for rank := range len(f.Hosts) {
		for _, order := range orders {
			if rank < len(order) {
				all = append(all, numbers[order[rank]])
			}
		}
	}
	return all
}

// recorded counts the events of a kind on a host.
func recorded(f *fleet.Fleet, i int, n event.Number) int {
	count := 0
	for _, e := range f.Hosts[i].Events().Since(time.Now().Add(-time.Hour)) {
		if e.Number == n {
			count++
		}
	}
	return count
}

// expectRevision waits until every host has a revision of the shard.
func expectRevision(f *fleet.Fleet, revision uint64) {
	GinkgoHelper()
	for _, d := range f.Hosts {
		Eventually(func() uint64 { return fleet.Revision(d, shardKey) }, patience).Should(Equal(revision))
	}
}

// expectReadersWait waits until the calls of the fleet's start are over: two readers in each of
// three data centres wait for a change of the index and of the hosts, and no other host does.
func expectReadersWait(f *fleet.Fleet) {
	GinkgoHelper()
	Eventually(f.Platform.Waiting, patience).Should(Equal(2 * 3 * 2))
}

// publishAndWait publishes the fleet's document and waits until the requests of every
// host are served by it.
func publishAndWait(f *fleet.Fleet) {
	GinkgoHelper()
	revision, err := f.Publish()
	Expect(err).NotTo(HaveOccurred())
	for _, d := range f.Hosts {
		Eventually(func() uint64 { return d.Snapshot().Revisions[shardKey] }, patience).Should(Equal(revision))
	}
}

var _ = Describe("the configuration", func() {
	It("is in force on every host, with few calls to the platform", func() {
		f := start(12, []config.Service{shop(3)}, withPatientHosts)
		expectReadersWait(f)
		before := f.Platform.Calls()
		revision, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		expectRevision(f, revision)
		// Two readers in each of three data centres: the index, the shard, and
		// the next watch each.
		Expect(f.Platform.Calls() - before).To(BeNumerically("<=", 2*3*4))
	})

	It("refuses a bad document whole, names the fault, and keeps the last good one", func() {
		f := start(3, []config.Service{shop(3)})
		good := fleet.Revision(f.Hosts[0], shardKey)
		_, err := f.Platform.PutRawShard(fleet.Shard, []byte("services:\n- name: shop\n  flor: 2\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return recorded(f, 0, event.ConfigRefused) }, patience).Should(BeNumerically(">", 0))
		Expect(fleet.Revision(f.Hosts[0], shardKey)).To(Equal(good))
		Expect(mustCall("POST", "http://"+f.Hosts[0].CallerAddress()+"/shop/order", "x").outcome()).To(Equal("complete"))
		revision, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		expectRevision(f, revision)
	})

	It("never goes back on a host that restarts while the platform serves an older one", func() {
		f := start(4, []config.Service{shop(3)})
		old := fleet.Revision(f.Hosts[0], shardKey)
		f.Platform.Snapshot()
		revision, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(BeNumerically(">", old))
		expectRevision(f, revision)
		f.Platform.Rollback()
		Expect(f.Restart(1)).To(Succeed())
		Eventually(f.Hosts[1].Ready, patience).Should(BeTrue())
		Expect(fleet.Revision(f.Hosts[1], shardKey)).To(Equal(revision))
	})

	It("serves on while the platform is down, also through a restarted host", func() {
		f := start(4, []config.Service{shop(3)})
		revision := fleet.Revision(f.Hosts[0], shardKey)
		f.Platform.SetDown(true)
		Expect(f.Restart(2)).To(Succeed())
		Eventually(f.Hosts[2].Ready, patience).Should(BeTrue())
		Expect(fleet.Revision(f.Hosts[2], shardKey)).To(Equal(revision))
		Expect(mustCall("POST", "http://"+f.Hosts[2].CallerAddress()+"/shop/order", "x").outcome()).To(Equal("complete"))
		f.Platform.SetDown(false)
		next, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		expectRevision(f, next)
	})

	It("reaches a host that was cut off, after the heal, and stays above what it had", func() {
		f := start(4, []config.Service{shop(3)}, withLinks)
		f.Links[3].Cut(true, true)
		f.Platform.SetDown(true)
		f.Platform.SetDown(false)
		revision, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		f.Links[3].Cut(false, false)
		expectRevision(f, revision)
	})

	It("is read by the readers only when all hosts restart at once", func() {
		f := start(18, []config.Service{shop(2)}, withPatientHosts)
		for _, d := range f.Hosts {
			d.Kill()
		}
		before := f.Platform.Calls()
		for _, i := range readersFirst(f) {
			Expect(f.StartAgain(i)).To(Succeed())
		}
		for _, d := range f.Hosts {
			Eventually(d.Ready, patience).Should(BeTrue())
		}
		// Two readers in each of three data centres: index, hosts, shard, and the
		// next two watches each; and a few polls.
		Expect(f.Platform.Calls() - before).To(BeNumerically("<=", 2*3*5+6))
	})

	It("is shown by config diff and config wait", func() {
		f := start(3, []config.Service{shop(3)})
		out := &bytes.Buffer{}
		app, err := operator.New(operator.Config{Host: f.Hosts[0].OperatorAddress(), Output: operator.FormatJSON, Out: out})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.Publish()
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		Expect(app.WaitConfig(ctx)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("0 differences"))
	})
})

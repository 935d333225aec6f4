package loops

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// start is a start of all hosts after a loss of power.
type start struct {
	hosts      int
	knownLater time.Duration // how much later the hosts start that all know from their settings
	knownDown  bool          // these do not start
	knownLife  time.Duration // they die this long after their start, 0 for not at all
	turnedAway float64       // share of hosts that the platform turns away
	away       bool          // the platform answers nobody
	list       time.Duration // time to read the list of servers
}

// startResult is what a start took.
type startResult struct {
	ready            int
	median, p90, max time.Duration // from a host's start to its configuration
	// overMedian, over90 and overMax count from the start of the first known host where that is later.
	overMedian, over90, overMax time.Duration
	reads                       int
	bytes, far                  int
}

// measure stops a running fleet and starts all of it within 0.2 s.
func (s start) measure(t *testing.T, seed uint64) startResult {
	t.Helper()
	f := New(Config{
		Hosts: s.hosts, DataCentres: 3, Near: 200 * time.Microsecond, Far: 1400 * time.Microsecond,
		StartWithin: 200 * time.Millisecond, KnownLater: s.knownLater, Loss: 0.002, Seed: seed,
		Documents: map[string][]byte{world.KeyPublished: []byte("services: []\n"), world.KeyDiscovered: manyServers(231, 0)},
	})
	f.Run(8 * time.Second)
	for _, h := range f.Hosts() {
		h.Stop()
		h.TurnedAway = s.away || f.random.Float64() < s.turnedAway
	}
	f.Run(time.Second)
	f.conf.ListTakes = s.list
	f.conf.KnownDown, f.conf.KnownLife = s.knownDown, s.knownLife
	before, reads := f.Sent(), f.Fetches
	f.StartAll()
	f.Run(4 * time.Second)
	after := f.Sent()
	r := startResult{reads: f.Fetches - reads, bytes: after.Bytes - before.Bytes, far: after.FarBytes - before.FarBytes}
	var took, over []time.Duration
	known := f.Hosts()[0].startedAt
	for _, h := range f.Hosts()[:seeds] {
		known = min(known, h.startedAt)
	}
	for _, h := range f.Hosts() {
		if h.Running() && h.ReadyAfter > 0 {
			took = append(took, h.ReadyAfter)
			over = append(over, h.startedAt+h.ReadyAfter-max(h.startedAt, known))
		}
	}
	if len(took) == 0 {
		return r
	}
	slices.Sort(took)
	slices.Sort(over)
	r.overMedian, r.over90, r.overMax = over[len(over)/2], over[len(over)*9/10], over[len(over)-1]
	r.ready, r.median, r.p90, r.max = len(took), took[len(took)/2], took[len(took)*9/10], took[len(took)-1]
	return r
}

// bounds are what a start may take. The figures before and after are in
// docs/design/simultaneous-start.md.
type bounds struct {
	over  time.Duration // from the start of the first known host to the last host's configuration
	reads int
}

// All hosts start at once after a loss of power, the known ones last: each host has its configuration soon
// after the first known host has started, with few reads of the platform. Hosts asked one of the known
// hosts each 0.1 s, were told of documents by gossip, and a third of them read the platform themselves: of 180
// hosts the last was ready 394 ms after the first known one had started, after 50 reads.
func TestReadySoonAfterTheFirstKnownHost(t *testing.T) {
	const late = 300 * time.Millisecond
	for _, hosts := range sizes() {
		for _, row := range []struct {
			start
			bounds
		}{
			{start{}, bounds{150 * time.Millisecond, 16}},
			{start{knownLater: late}, bounds{150 * time.Millisecond, 16}},
			{start{knownLater: late, turnedAway: 0.35}, bounds{600 * time.Millisecond, 40}},
			{start{list: time.Second}, bounds{1200 * time.Millisecond, 16}},
			{start{knownLater: late, knownLife: 30 * time.Millisecond}, bounds{2200 * time.Millisecond, hosts/4 + 20}},
			{start{knownDown: true}, bounds{600 * time.Millisecond, 4*hosts + 8}},
			{start{away: true}, bounds{0, hosts + 60}},
		} {
			s := row.start
			s.hosts = hosts
			r := s.measure(t, 1)
			t.Logf("%+v: %d ready, median %s p90 %s max %s; after the first known host %s, %s, %s; %d reads, %d kB, %d kB between data centres", s, r.ready, r.median, r.p90, r.max, r.overMedian, r.over90, r.overMax, r.reads, r.bytes/1000, r.far/1000)
			want := hosts
			if s.away {
				want = 0
			}
			if s.knownDown || s.knownLife > 0 {
				want -= seeds
			}
			if r.ready != want || r.overMax > row.over || r.reads > row.reads {
				t.Errorf("%+v: %d of %d hosts ready within %s of the first known host, with %d reads; at most %s and %d", s, r.ready, want, r.overMax, r.reads, row.over, row.reads)
			}
		}
	}
}

func sizes() []int {
	if os.Getenv("LOOPS_LARGE") != "" {
		return []int{40, 180, 600}
	}
	return []int{40, 180}
}

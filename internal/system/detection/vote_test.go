package detection_test

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/system/detection"
	"github.com/pearshelf/pearshelf/internal/system/rotation"
	"github.com/pearshelf/pearshelf/internal/verdict"
	"github.com/pearshelf/pearshelf/internal/world"
)

const tick = 100 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// watcher is a host that watches service s.
type watcher struct {
	w      *world.World
	system *detection.System
	now    time.Time
}

func newWatcher(now time.Time) *watcher {
	w := world.New(world.Identity{Host: "h1", DataCentre: "dc1"}, &hlc.Clock{}, now)
	svc := &world.Service{Config: &config.Service{Name: "s"}, Watchers: []string{"h1"}, Dirty: true}
	for _, id := range []string{"b1", "b2"} {
		svc.Backends = append(svc.Backends, &world.BackendServer{Config: config.Backend{ID: id, Slots: 3}, Since: now})
	}
	w.Services["s"] = svc
	return &watcher{w: w, system: detection.New(), now: now}
}

func (h *watcher) service() *world.Service { return h.w.Services["s"] }

// run makes ticks for a time and answers all probes well.
func (h *watcher) run(length time.Duration) (probes int) {
	for end := h.now.Add(length); h.now.Before(end); h.now = h.now.Add(tick) {
		h.system.Run(h.w, h.now)
		rotation.System{}.Run(h.w, h.now)
		for _, p := range h.w.Outbox.Take().Probes {
			probes++
			h.system.Observe(h.w, h.now, []*peerpb.Observation{{Service: p.Service, Backend: p.Backend, Kind: peerpb.Observation_KIND_PROBE_GOOD}})
		}
	}
	return probes
}

// vote casts this host's vote against b1.
func (h *watcher) vote() {
	b := h.service().Backend("b1")
	b.Detection.Voted = true
	b.Detection.ProbeAt = h.now.Add(detection.MinHoldOff)
	verdict.Cast(h.w, h.now, h.service(), b)
}

func (h *watcher) isOut() bool { return h.service().Backend("b1").State == world.BackendEjected }

// Guards against a server that stays out of rotation until the votes against it expire, because the hosts that cast
// them have restarted since.
func TestRestartedWatcherEndsItsVote(t *testing.T) {
	before := newWatcher(epoch)
	before.vote()
	before.run(time.Second)
	if !before.isOut() {
		t.Fatal("the server is not ejected")
	}
	after := newWatcher(before.now)
	for _, r := range before.w.Registers.All(before.now) {
		after.w.Registers.Merge(after.now, r)
	}
	if probes := after.run(detection.MinHoldOff - 2*time.Second); !after.isOut() || probes > 0 {
		t.Errorf("out: %t, %d probes during the hold-off", after.isOut(), probes)
	}
	after.run(detection.ProbesToRecover*detection.RecoveryProbeInterval + 2*time.Second)
	if after.isOut() {
		t.Error("the server is still ejected although it answers probes")
	}
}

// Guards against the same when the process of the ejected server is replaced, which resets what this host knows of it.
func TestVoteAgainstReplacedServerEnds(t *testing.T) {
	h := newWatcher(epoch)
	h.vote()
	h.run(time.Second)
	svc := h.service()
	svc.Backends[0] = &world.BackendServer{Config: svc.Backends[0].Config, State: world.BackendTrial, Since: h.now}
	svc.Dirty = true
	h.run(detection.MinHoldOff + detection.ProbesToRecover*detection.RecoveryProbeInterval + time.Second)
	if h.isOut() {
		t.Error("the server is still ejected although it answers probes")
	}
}

// A vote without a majority must be taken up as well: otherwise a single vote of another watcher ejects the server
// later.
func TestRestartedWatcherEndsAVoteWithoutMajority(t *testing.T) {
	before := newWatcher(epoch)
	before.service().Watchers = []string{"h1", "h2", "h3"}
	before.vote()
	after := newWatcher(epoch)
	after.service().Watchers = before.service().Watchers
	after.run(time.Second)
	for _, r := range before.w.Registers.All(after.now) {
		after.w.Registers.Merge(after.now, r)
	}
	after.service().Dirty = true // as the engine does for each register that is a vote
	after.run(detection.MinHoldOff + detection.ProbesToRecover*detection.RecoveryProbeInterval + time.Second)
	if votes := verdict.Count(after.w, "s")["b1"].Votes; votes != 0 {
		t.Errorf("%d votes remain", votes)
	}
}

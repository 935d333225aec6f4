package detection

import (
	"fmt"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// relate returns the scores of all servers in order, and notes the usual shares
// of bad answers. When a whole service is slow or failing, that is no single
// server's fault.
func (s *System) relate(svc *world.Service) []float64 {
	scores := make([]float64, 0, len(svc.Backends))
	var fails, slows []float64
	for _, b := range svc.Backends {
		e := s.record(svc.Config.Name, b.Config.ID)
		scores = append(scores, e.score())
		fails = append(fails, float64(e.failShare))
		slows = append(slows, float64(e.slowShare))
	}
	slices.Sort(scores)
	s.usual[svc.Config.Name] = usualShares{fail: median(fails), slow: median(slows)}
	return scores
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func medianOfOthers(sorted []float64, own float64) float64 {
	if len(sorted) < 2 {
		return 0
	}
	// Taking one value out of the sorted list shifts the middle by one place.
	i, _ := slices.BinarySearch(sorted, own)
	middle := (len(sorted) - 1) / 2
	if i <= middle {
		middle++
	}
	return sorted[min(middle, len(sorted)-1)]
}

func (s *System) judge(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, e *evidence, sorted []float64) {
	own := e.score()
	b.Detection.Relative = own - peerFactor*medianOfOthers(sorted, own)
	s.suspect(w, now, svc, b)
	if b.Detection.Voted {
		s.holdVote(w, now, svc, b)
		return
	}
	s.pathFault(w, now, svc, b, e)
	if !svc.Watches(w.Self.Host) || w.Distrust {
		return
	}
	if b.State == world.BackendSuspect {
		probe(w, now, svc, b, SuspectProbeEvery, ProbeTimeout)
	}
	if b.Detection.Relative >= ejectScore(svc.Config.Detection) && witnessed(w, now, e) {
		s.vote(w, now, svc, b, e)
	}
}

func ejectScore(d config.Detection) float64 {
	if d == config.DetectionFast {
		return EjectFast
	}
	return EjectCareful
}

// witnessed reports whether more than one host saw the server fail, where there
// is more than one.
func witnessed(w *world.World, now time.Time, e *evidence) bool {
	live := 0
	for _, h := range w.Hosts {
		if h.Live() {
			live++
		}
	}
	return live <= 1 || e.witnessed(now)
}

func (s *System) suspect(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer) {
	switch {
	case b.State == world.BackendHealthy && b.Detection.Relative >= SuspectScore:
		setState(now, svc, b, world.BackendSuspect)
		w.Record(now, event.BackendSuspect, svc.Config.Name, b.Config.ID, fmt.Sprintf("score %.1f", b.Detection.Relative))
	case b.State == world.BackendSuspect && b.Detection.Relative < ClearScore:
		setState(now, svc, b, world.BackendHealthy)
		w.Record(now, event.BackendCleared, svc.Config.Name, b.Config.ID, "")
	}
}

func setState(now time.Time, svc *world.Service, b *world.BackendServer, state world.BackendState) {
	b.State = state
	b.Since = now
	svc.Dirty = true
}

// pathFault marks a server that this host cannot use although the fleet does
// not eject it: the path between the two is broken, not the server.
func (s *System) pathFault(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, e *evidence) {
	broken := e.ownFail() >= EjectCareful && b.State != world.BackendEjected
	if broken == b.Detection.PathFault {
		return
	}
	if !broken && e.ownFail() > ClearScore && b.State != world.BackendEjected {
		return
	}
	b.Detection.PathFault = broken
	svc.Dirty = true
	if broken {
		w.Record(now, event.BackendPathFault, svc.Config.Name, b.Config.ID, "fails from this host only; it uses others")
	}
}

// judgeSelf doubts this host when nearly all servers look bad from it.
func (s *System) judgeSelf(w *world.World, now time.Time) {
	seen, failing := 0, 0
	for _, e := range s.records {
		if now.Sub(e.lastSeen) > trafficWindow {
			continue
		}
		seen++
		if e.ownFail() >= SuspectScore {
			failing++
		}
	}
	distrust := seen >= distrustMin && float64(failing) >= distrustShare*float64(seen)
	if distrust && !w.Distrust {
		w.Record(now, event.HostDistrustsSelf, "", "", fmt.Sprintf("%d of %d backend servers fail from here", failing, seen))
	}
	w.Distrust = distrust
}

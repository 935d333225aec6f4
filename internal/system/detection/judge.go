package detection

import (
	"fmt"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// updateBaseline returns the sorted scores of all servers and updates the baseline
// rates of bad answers. If a whole service is slow or failing, no single server is
// to blame.
func (s *System) updateBaseline(svc *world.Service) []float64 {
	scores := make([]float64, 0, len(svc.Backends))
	var fails, slows []float64
	for _, b := range svc.Backends {
		e := s.record(svc.Config.Name, b.Config.ID)
		scores = append(scores, e.score())
		fails = append(fails, float64(e.failRate))
		slows = append(slows, float64(e.slowRate))
	}
	slices.Sort(scores)
	s.baselines[svc.Config.Name] = baselineRates{fail: median(fails), slow: median(slows)}
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
	// Removing one value from the sorted list shifts the middle by one position.
	i, _ := slices.BinarySearch(sorted, own)
	middle := (len(sorted) - 1) / 2
	if i <= middle {
		middle++
	}
	return sorted[min(middle, len(sorted)-1)]
}

func (s *System) evaluateBackend(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, e *evidence, sorted []float64) {
	own := e.score()
	b.Detection.Relative = own - peerFactor*medianOfOthers(sorted, own)
	s.updateSuspicion(w, now, svc, b)
	if b.Detection.Voted {
		s.maintainVote(w, now, svc, b)
		return
	}
	s.updatePathFault(w, now, svc, b, e)
	if !svc.Watches(w.Self.Host) || w.NetworkSuspect {
		return
	}
	if b.State == world.BackendSuspect {
		scheduleProbe(w, now, svc, b, SuspectProbeInterval, ProbeTimeout)
	}
	if b.Detection.Relative >= ejectScore(svc.Config.Detection) && corroborated(w, now, e) {
		s.castVote(w, now, svc, b, e)
	}
}

func ejectScore(d config.Detection) float64 {
	if d == config.DetectionFast {
		return EjectFast
	}
	return EjectCareful
}

// corroborated reports whether more than one host saw the server fail, if there is
// more than one live host.
func corroborated(w *world.World, now time.Time, e *evidence) bool {
	live := 0
	for _, h := range w.Hosts {
		if h.Live() {
			live++
		}
	}
	return live <= 1 || e.corroborated(now)
}

func (s *System) updateSuspicion(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer) {
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

// updatePathFault marks a server that fails from this host although the fleet has
// not ejected it: the path between the two is faulty, not the server.
func (s *System) updatePathFault(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, e *evidence) {
	faulty := e.ownFailScore() >= EjectCareful && b.State != world.BackendEjected
	if faulty == b.Detection.PathFault {
		return
	}
	if !faulty && e.ownFailScore() > ClearScore && b.State != world.BackendEjected {
		return
	}
	b.Detection.PathFault = faulty
	svc.Dirty = true
	if faulty {
		w.Record(now, event.BackendPathFault, svc.Config.Name, b.Config.ID, "fails only from this host; using other servers")
	}
}

// recordPath records whether an outcome shows that this host reaches the server. An error that the
// server itself returned shows that it does.
func (s *System) recordPath(now time.Time, o *peerpb.Observation) {
	switch {
	case o.Kind == peerpb.Observation_KIND_GOOD || o.FirstByteUs > 0 && o.Kind == peerpb.Observation_KIND_FAILED:
		s.path.Reached()
	case o.Kind == peerpb.Observation_KIND_FAILED || o.Kind == peerpb.Observation_KIND_UNREACHABLE:
		s.path.Unreachable(now, o.Service+"/"+o.Backend)
	}
}

// checkOwnNetwork marks this host as distrusting its own network if it has lost its path to the
// backend servers.
func (s *System) checkOwnNetwork(w *world.World, now time.Time) {
	known := 0
	for _, svc := range w.Services {
		known += len(svc.Backends)
	}
	distrust := s.path.Lost(now, known)
	if distrust && !w.NetworkSuspect {
		w.Record(now, event.HostDistrustsItself, "", "", fmt.Sprintf("%d backend servers do not answer this host, and none has in between", s.path.Count(now)))
	}
	w.NetworkSuspect = distrust
}

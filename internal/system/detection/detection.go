// Package detection detects faulty backend servers from the outcomes of
// requests on all hosts. Owners report to the watchers of a service only after
// a failure or while a server's score is elevated. Each watcher runs a
// cumulative sum test per server, relative to the other servers of the service,
// and votes; a majority of votes ejects a server (package verdict). Without a
// majority a host only prefers other servers, which costs no capacity. Votes outlive
// the process that cast them: a watcher that restarts takes up its own.
package detection

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/pathloss"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Thresholds, as log-likelihood ratios.
const (
	SuspectScore = 4.0
	ClearScore   = 1.0
	// EjectFast is odds of about 10^6, EjectCareful of about 10^9.
	EjectFast    = 13.8
	EjectCareful = 20.7
)

// Timing.
const (
	// MinHoldOff is the minimum time out of rotation. Each relapse doubles it, up
	// to MaxHoldOff.
	MinHoldOff = 5 * time.Second
	MaxHoldOff = 5 * time.Minute
	// RelapseWindow is the time after a return within which another ejection
	// counts as a relapse.
	RelapseWindow = 10 * time.Minute
	// SuspectProbeInterval and RecoveryProbeInterval are the intervals at which
	// one watcher probes suspect and ejected servers.
	SuspectProbeInterval  = 250 * time.Millisecond
	RecoveryProbeInterval = 500 * time.Millisecond
	// ProbesToRecover is the number of consecutive successful probes that end a
	// vote.
	ProbesToRecover = 3
	// ProbeTimeout limits a probe while the typical latency is unknown.
	ProbeTimeout = 1 * time.Second
	// corroborationWindow is the time for which a host's observed failure of a
	// server counts.
	corroborationWindow = 10 * time.Second
	// idleAfter is the time without new evidence after which a service is no
	// longer evaluated.
	idleAfter = 30 * time.Second
)

// Thresholds for reports.
const (
	// reportAllScore is the score from which all outcomes are reported.
	reportAllScore = 2.0
	// corroborationScore is the score that must be reached with the observations of
	// any single host excluded, since the path from one host may be broken.
	corroborationScore = 7.0
)

type serverKey struct{ service, backend string }

// System is the detection step of a tick.
type System struct {
	records   map[serverKey]*evidence
	baselines map[string]baselineRates
	path      pathloss.Detector
}

// baselineRates are the median rates of failed and slow answers over the servers of a service.
type baselineRates struct{ fail, slow float64 }

// New returns a system without evidence.
func New() *System {
	return &System{
		records:   make(map[serverKey]*evidence),
		baselines: make(map[string]baselineRates),
	}
}

func (s *System) record(service, backend string) *evidence {
	key := serverKey{service, backend}
	e, ok := s.records[key]
	if !ok {
		e = newEvidence()
		s.records[key] = e
	}
	return e
}

// Observe records outcomes of this host's own requests and probes.
func (s *System) Observe(w *world.World, now time.Time, batch []*peerpb.Observation) {
	for _, o := range batch {
		svc, ok := w.Services[o.Service]
		if !ok {
			continue
		}
		b := svc.Backend(o.Backend)
		if b == nil {
			continue
		}
		s.observeOne(w, now, svc, b, o)
	}
}

func (s *System) observeOne(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, o *peerpb.Observation) {
	e := s.record(o.Service, o.Backend)
	s.recordPath(now, o)
	switch o.Kind {
	case peerpb.Observation_KIND_GOOD:
		s.observeSuccess(now, svc, b, e, o)
	case peerpb.Observation_KIND_FAILED:
		e.ownPending.Failed++
		noteFailure(now, svc, e)
	case peerpb.Observation_KIND_UNREACHABLE:
		b.Detection.Unreachable++
		e.ownPending.Unreachable++
		noteFailure(now, svc, e)
	case peerpb.Observation_KIND_PROBE_GOOD:
		s.probeGood(w, now, svc, b, e, o)
	case peerpb.Observation_KIND_PROBE_FAILED:
		s.probeFailed(now, svc, b, e)
	}
}

func (s *System) observeSuccess(now time.Time, svc *world.Service, b *world.BackendServer, e *evidence, o *peerpb.Observation) {
	b.Detection.Unreachable = 0
	latency := latencyOf(o)
	isSlow := e.countGood(svc, latency)
	svc.Latency.Add(latency)
	if isSlow {
		e.lastBad = now
	}
	if isSlow || e.score() > 0 {
		svc.DetectionActive = true
	}
	if b.State == world.BackendTrial && o.Idempotent {
		b.Detection.TrialSuccesses++
	}
}

func latencyOf(o *peerpb.Observation) time.Duration {
	return time.Duration(o.FirstByteUs) * time.Microsecond
}

func noteFailure(now time.Time, svc *world.Service, e *evidence) {
	e.lastBad = now
	svc.DetectionActive = true
}

// AddReport records the evidence reported by another host.
func (s *System) AddReport(w *world.World, now time.Time, report *peerpb.Evidence) {
	svc, ok := w.Services[report.Service]
	if !ok || report.Host == w.Self.Host {
		return
	}
	for _, be := range report.Backends {
		b := svc.Backend(be.Backend)
		if b == nil {
			continue
		}
		e := s.record(report.Service, be.Backend)
		seen := counts{Good: be.Good, Failed: be.Failed, Slow: be.Slow, Unreachable: be.Unreachable}
		e.addCounts(now, report.Host, s.baselineOf(report.Service), seen)
		if seen.bad()+seen.Slow > 0 {
			e.lastBad = now
		}
		svc.DetectionActive = true
	}
}

func (s *System) baselineOf(service string) baselineRates {
	baseline, ok := s.baselines[service]
	if !ok {
		baseline.slow = initialSlowRate
	}
	return baseline
}

// Run evaluates every service with recent evidence.
func (s *System) Run(w *world.World, now time.Time) {
	s.checkOwnNetwork(w, now)
	for _, name := range w.ServiceNames() {
		svc := w.Services[name]
		if svc.Dirty || svc.DetectionActive {
			s.resumeVotes(w, now, svc)
		}
		if svc.DetectionActive {
			s.evaluateService(w, now, svc)
		}
	}
}

func (s *System) evaluateService(w *world.World, now time.Time, svc *world.Service) {
	s.flush(w, now, svc)
	scores := s.updateBaseline(svc)
	busy := false
	for _, b := range svc.Backends {
		e := s.record(svc.Config.Name, b.Config.ID)
		s.evaluateBackend(w, now, svc, b, e, scores)
		busy = busy || s.needsEvaluation(now, b, e)
	}
	svc.DetectionActive = busy
}

func (s *System) needsEvaluation(now time.Time, b *world.BackendServer, e *evidence) bool {
	if b.State != world.BackendHealthy || b.Detection.Voted {
		return true
	}
	return e.score() > 0 && now.Sub(e.lastBad) < idleAfter
}

// flush adds this host's pending counts to its tests and reports them to the
// watchers after a failure or while a score is elevated. Occasional slow
// answers are normal and are not reported.
func (s *System) flush(w *world.World, now time.Time, svc *world.Service) {
	report := &peerpb.Evidence{Host: w.Self.Host, Service: svc.Config.Name}
	for _, b := range svc.Backends {
		e := s.record(svc.Config.Name, b.Config.ID)
		own := e.ownPending
		e.ownPending = counts{}
		if own == (counts{}) {
			continue
		}
		e.addCounts(now, ownHost, s.baselineOf(svc.Config.Name), own)
		if unreported, due := e.takeReport(own); due {
			report.Backends = append(report.Backends, unreported.message(b.Config.ID))
		}
	}
	s.send(w, svc, report)
}

func (s *System) send(w *world.World, svc *world.Service, report *peerpb.Evidence) {
	if len(report.Backends) == 0 || w.NetworkSuspect {
		return
	}
	var others []string
	for _, host := range svc.Watchers {
		if host != w.Self.Host {
			others = append(others, host)
		}
	}
	w.Outbox.Evidence = append(w.Outbox.Evidence, world.Evidence{To: others, Evidence: report})
}

// Forget drops the evidence of backend servers that no longer exist.
func (s *System) Forget(w *world.World) {
	for key := range s.records {
		svc, ok := w.Services[key.service]
		if !ok || svc.Backend(key.backend) == nil {
			delete(s.records, key)
		}
	}
}

var _ world.System = (*System)(nil)

// Package detection judges backend servers from the outcomes of requests that
// all hosts see. Owners report to the watchers of a service by exception; each
// watcher runs a cumulative sum test per server, relative to its peers, and
// votes; a majority of votes ejects (package verdict). Without votes a host
// only prefers other servers, which costs no capacity.
package detection

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
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
	// HoldOff is the least time out of rotation; each relapse doubles it.
	HoldOff    = 5 * time.Second
	MaxHoldOff = 5 * time.Minute
	// RelapseWindow is how soon after a return an ejection is a relapse.
	RelapseWindow = 10 * time.Minute
	// SuspectProbeEvery and ReturnProbeEvery are one watcher's probe periods.
	SuspectProbeEvery = 250 * time.Millisecond
	ReturnProbeEvery  = 500 * time.Millisecond
	// ProbesToReturn good probes in a row end a vote.
	ProbesToReturn = 3
	// ProbeTimeout bounds a probe where the usual latency is unknown.
	ProbeTimeout = 1 * time.Second
	// witnessWindow is how long a host counts as having seen a server fail.
	witnessWindow = 10 * time.Second
	// quietAfter ends the work on a service without evidence.
	quietAfter = 30 * time.Second
	// trafficWindow is how recent traffic must be to judge this host itself.
	trafficWindow = 5 * time.Second
)

// Shares that make a host doubt its own network.
const (
	// reportScore is the score from which every outcome is reported.
	reportScore = 2.0

	distrustShare = 0.8
	distrustMin   = 3
	// witnessScore is the least score without any one host: one alone may have
	// a broken path.
	witnessScore = 7.0
)

type serverKey struct{ service, backend string }

// System is the detection step.
type System struct {
	records map[serverKey]*evidence
	usual   map[string]usualShares
}

// usualShares are the medians over a service's servers.
type usualShares struct{ fail, slow float64 }

// New returns a system without evidence.
func New() *System {
	return &System{
		records: make(map[serverKey]*evidence),
		usual:   make(map[string]usualShares),
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

// Observe takes outcomes of this host's own requests and probes.
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
	e.lastSeen = now
	switch o.Kind {
	case peerpb.Observation_KIND_GOOD:
		s.good(now, svc, b, e, o)
	case peerpb.Observation_KIND_FAILED:
		e.own.Failed++
		bad(now, svc, e)
	case peerpb.Observation_KIND_UNREACHABLE:
		b.Detection.Unreachable++
		e.own.Unreachable++
		bad(now, svc, e)
	case peerpb.Observation_KIND_PROBE_GOOD:
		s.probeGood(w, now, svc, b, e, o)
	case peerpb.Observation_KIND_PROBE_FAILED:
		s.probeFailed(now, svc, b, e)
	}
}

func (s *System) good(now time.Time, svc *world.Service, b *world.BackendServer, e *evidence, o *peerpb.Observation) {
	b.Detection.Unreachable = 0
	latency := latencyOf(o)
	isSlow := e.countGood(svc, latency)
	svc.Latency.Add(latency)
	if isSlow {
		e.lastBad = now
	}
	if isSlow || e.score() > 0 {
		svc.Busy = true
	}
	if b.State == world.BackendTrial && o.Idempotent {
		b.Detection.TrialGood++
	}
}

func latencyOf(o *peerpb.Observation) time.Duration {
	return time.Duration(o.FirstByteUs) * time.Microsecond
}

func bad(now time.Time, svc *world.Service, e *evidence) {
	e.lastBad = now
	svc.Busy = true
}

// Report takes the evidence of another host.
func (s *System) Report(w *world.World, now time.Time, report *peerpb.Evidence) {
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
		e.weigh(now, report.Host, s.usualOf(report.Service), seen)
		if seen.bad()+seen.Slow > 0 {
			e.lastBad = now
		}
		svc.Busy = true
	}
}

func (s *System) usualOf(service string) usualShares {
	usual, ok := s.usual[service]
	if !ok {
		usual.slow = initialSlowRate
	}
	return usual
}

// Run judges every service that has evidence.
func (s *System) Run(w *world.World, now time.Time) {
	s.judgeSelf(w, now)
	for _, name := range w.ServiceNames() {
		svc := w.Services[name]
		if svc.Busy {
			s.judgeService(w, now, svc)
		}
	}
}

func (s *System) judgeService(w *world.World, now time.Time, svc *world.Service) {
	s.flush(w, now, svc)
	scores := s.relate(svc)
	busy := false
	for _, b := range svc.Backends {
		e := s.record(svc.Config.Name, b.Config.ID)
		s.judge(w, now, svc, b, e, scores)
		busy = busy || s.isBusy(now, b, e)
	}
	svc.Busy = busy
}

func (s *System) isBusy(now time.Time, b *world.BackendServer, e *evidence) bool {
	if b.State != world.BackendHealthy || b.Detection.Voted {
		return true
	}
	return e.score() > 0 && now.Sub(e.lastBad) < quietAfter
}

// flush applies this host's own counts to its tests and reports them to the
// watchers where they matter: at every failure, and while a score is up. A slow
// answer now and then is usual and not reported.
func (s *System) flush(w *world.World, now time.Time, svc *world.Service) {
	report := &peerpb.Evidence{Host: w.Self.Host, Service: svc.Config.Name}
	for _, b := range svc.Backends {
		e := s.record(svc.Config.Name, b.Config.ID)
		own := e.own
		e.own = counts{}
		if own == (counts{}) {
			continue
		}
		e.weigh(now, ownHost, s.usualOf(svc.Config.Name), own)
		if unreported, due := e.report(own); due {
			report.Backends = append(report.Backends, unreported.message(b.Config.ID))
		}
	}
	s.send(w, svc, report)
}

func (s *System) send(w *world.World, svc *world.Service, report *peerpb.Evidence) {
	if len(report.Backends) == 0 || w.Distrust {
		return
	}
	var others []string
	for _, host := range svc.Watchers {
		if host != w.Self.Host {
			others = append(others, host)
		}
	}
	w.Out.Evidence = append(w.Out.Evidence, world.Evidence{To: others, Evidence: report})
}

// Forget drops the evidence of backend servers that are gone.
func (s *System) Forget(w *world.World) {
	for key := range s.records {
		svc, ok := w.Services[key.service]
		if !ok || svc.Backend(key.backend) == nil {
			delete(s.records, key)
		}
	}
}

// Interface guard.
var _ world.System = (*System)(nil)

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// A host that starts knows nothing of servers that other hosts of its data centre know to be
// failing, and sends them requests that must not run twice. So it takes over what others know: the
// failure beliefs with the age of their evidence, the slowness of servers, and usual latencies.

const (
	// youngHost is the age below which a host says that it is young: it has little evidence of its
	// own.
	youngHost = 2 * time.Second
	// minBeliefShift is how far a belief must lie from the one without evidence to be exported, and
	// minSlownessShift how far slowness from the usual one: the rest tells nothing.
	minBeliefShift   = 0.02
	minSlownessShift = 0.1
	// maxExportedServers and maxExportedRoutes bound an answer. At about 40 bytes each it has 10 KB
	// at most. Servers that are most likely failing come first.
	maxExportedServers = 200
	maxExportedRoutes  = 50

	million = 1e6
)

// Export returns what this host knows of the servers that uses selects, for a host of the same data
// centre that has just started.
func (t *Table) Export(now time.Time, uses func(service, server string) bool) *peerpb.HandoverResponse {
	up := now.Sub(t.started)
	state := &peerpb.HandoverResponse{Young: up < youngHost, UpMs: millis(up)}
	if state.Young || !t.has(MechanismHandover) {
		return state
	}
	for k, s := range t.servers {
		if row := s.export(now, k); row != nil && uses(k.service, k.backend) {
			state.Servers = append(state.Servers, row)
		}
	}
	slices.SortFunc(state.Servers, func(a, b *peerpb.HandoverServer) int {
		return cmp.Or(-cmp.Compare(a.BeliefMillionths, b.BeliefMillionths), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	state.Servers = state.Servers[:min(len(state.Servers), maxExportedServers)]
	for _, name := range sortedKeys(t.services) {
		svc := t.services[name]
		state.Services = append(state.Services, &peerpb.HandoverService{Service: name, LatencyUs: uint32(svc.typicalLatency.Microseconds()), UnansweredMillionths: uint32(million * svc.unansweredShare)})
	}
	for _, group := range sortedKeys(t.routes) {
		if r := t.routeIfKnown(now, group); r != nil && len(state.Routes) < maxExportedRoutes {
			state.Routes = append(state.Routes, &peerpb.HandoverRoute{Route: group, LatencyUs: uint32(r.typicalLatency.Microseconds()), Bytes: uint32(min(r.bytes, math.MaxUint32)), AgeMs: millis(now.Sub(r.newestAt))})
		}
	}
	return state
}

// export returns what is known of the server, nil if it is no more than what any host assumes.
func (s *server) export(now time.Time, k key) *peerpb.HandoverServer {
	shifted := math.Abs(s.health.probabilityAt(now)-stationaryBelief) >= minBeliefShift
	if !shifted && math.Abs(s.slowness-1) < minSlownessShift {
		return nil
	}
	return &peerpb.HandoverServer{
		Service:             k.service,
		Server:              k.backend,
		Started:             s.started,
		BeliefMillionths:    uint32(million * s.health.probability),
		AgeMs:               millis(now.Sub(s.health.at)),
		FailedMs:            ageIfKnown(now, s.failedAt),
		SentMs:              ageIfKnown(now, s.lastSent),
		SlownessThousandths: uint32(1000 * s.slowness),
	}
}

// Import applies what another host of the data centre knows. Evidence that is newer than this host's
// own counts. It returns the number of servers of which this host learned something.
func (t *Table) Import(now time.Time, state *peerpb.HandoverResponse) (learned int) {
	if state.Young || !t.has(MechanismHandover) {
		return 0
	}
	for _, row := range state.Servers {
		if age := asDuration(row.AgeMs); age < stateTTL && t.importServer(now.Add(-age), now, row) {
			learned++
		}
	}
	for _, row := range state.Services {
		if svc := t.service(row.Service); svc.typicalLatency == defaultTypicalLatency && row.LatencyUs > 0 {
			svc.typicalLatency = time.Duration(row.LatencyUs) * time.Microsecond
			svc.unansweredShare = min(float64(row.UnansweredMillionths)/million, 1)
		}
	}
	for _, row := range state.Routes {
		if r, known := t.routes[row.Route]; (!known || r.answers == 0) && row.LatencyUs > 0 {
			t.routes[row.Route] = &route{answers: minRouteAnswers, newestAt: now.Add(-asDuration(row.AgeMs)), typicalLatency: time.Duration(row.LatencyUs) * time.Microsecond, bytes: float64(row.Bytes)}
		}
	}
	return learned
}

// importServer applies what another host knew of a server at the time of its last evidence.
func (t *Table) importServer(at, now time.Time, row *peerpb.HandoverServer) bool {
	s := t.state(now, key{row.Service, row.Server}, nil)
	if s.started != 0 && row.Started != 0 && s.started != row.Started {
		return false // another process
	}
	if s.health.probability != stationaryBelief && s.health.at.After(at) {
		return false
	}
	if s.started == 0 {
		s.started = row.Started
	}
	s.health = healthModel{probability: min(float64(row.BeliefMillionths)/million, maxBelief), at: at}
	if row.FailedMs > 0 {
		s.failedAt = latest(s.failedAt, now.Add(-asDuration(row.FailedMs-1)))
	}
	if row.SentMs > 0 {
		s.lastSent = latest(s.lastSent, now.Add(-asDuration(row.SentMs-1)))
	}
	if s.slowness == 1 && row.SlownessThousandths > 0 {
		s.slowness = min(max(float64(row.SlownessThousandths)/1000, minSlowness), maxSlowness)
	}
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32-1))
}

func asDuration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// ageIfKnown is the age of a time in ms plus 1, 0 for the zero time.
func ageIfKnown(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return millis(now.Sub(at)) + 1
}

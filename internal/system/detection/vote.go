package detection

import (
	"fmt"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/verdict"
	"github.com/pearshelf/pearshelf/internal/world"
)

// vote holds a server ejected in this watcher's name.
func (s *System) vote(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, e *evidence) {
	d := &b.Detection
	relapsed := !d.ReturnedAt.IsZero() && now.Sub(d.ReturnedAt) < RelapseWindow
	if relapsed {
		d.Relapses++
	} else {
		d.Relapses = 0
	}
	d.Voted = true
	d.RenewAt = now.Add(verdict.RenewEvery)
	d.ProbesGood = 0
	d.ProbeAt = now.Add(holdOff(d.Relapses))
	verdict.Cast(w, now, svc, b)
	w.Record(now, event.BackendVoted, svc.Config.Name, b.Config.ID, fmt.Sprintf("score %.1f, seen failing by %d hosts, relapses %d", d.Relative, len(e.without), d.Relapses))
}

func holdOff(relapses int) time.Duration {
	hold := HoldOff
	for range relapses {
		hold = min(2*hold, MaxHoldOff)
	}
	return hold
}

// holdVote renews a vote and probes for the server's return.
func (s *System) holdVote(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer) {
	d := &b.Detection
	if !now.Before(d.RenewAt) {
		d.RenewAt = now.Add(verdict.RenewEvery)
		verdict.Cast(w, now, svc, b)
	}
	// A server returns only if it also answers as quickly as its peers.
	timeout := ProbeTimeout
	if slowAfter := svc.Latency.SlowAfter(); slowAfter > 0 {
		timeout = min(timeout, slowAfter)
	}
	probe(w, now, svc, b, ReturnProbeEvery, timeout)
}

func probe(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, every, timeout time.Duration) {
	if now.Before(b.Detection.ProbeAt) {
		return
	}
	b.Detection.ProbeAt = now.Add(every)
	w.Out.Probes = append(w.Out.Probes, world.Probe{
		Service: svc.Config.Name,
		Backend: b.Config.ID,
		Address: b.Config.Address,
		Path:    svc.Config.Probe.Path,
		Timeout: timeout,
	})
}

// probeGood takes a good probe. A gray server answers health checks well, so
// a probe of the health endpoint is no evidence of health; one of a path that
// does real work is.
func (s *System) probeGood(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, e *evidence, o *peerpb.Observation) {
	d := &b.Detection
	if !d.Voted {
		if svc.Config.Probe.Path != config.DefaultProbePath {
			e.countGood(svc, latencyOf(o))
		}
		return
	}
	d.ProbesGood++
	if d.ProbesGood < ProbesToReturn {
		return
	}
	d.Voted = false
	d.ReturnedAt = now
	*e = *newEvidence()
	verdict.End(w, now, svc, b)
	w.Record(now, event.BackendVoteEnded, svc.Config.Name, b.Config.ID, fmt.Sprintf("%d good probes", ProbesToReturn))
}

// probeFailed takes a failed probe.
func (s *System) probeFailed(now time.Time, svc *world.Service, b *world.BackendServer, e *evidence) {
	b.Detection.ProbesGood = 0
	if b.Detection.Voted {
		return
	}
	e.own.Failed++
	bad(now, svc, e)
}

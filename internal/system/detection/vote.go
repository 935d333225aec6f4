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

// castVote casts this watcher's vote to eject a server.
func (s *System) castVote(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, e *evidence) {
	d := &b.Detection
	relapsed := !d.ReturnedAt.IsZero() && now.Sub(d.ReturnedAt) < RelapseWindow
	if relapsed {
		d.Relapses++
	} else {
		d.Relapses = 0
	}
	d.Voted = true
	d.RenewAt = now.Add(verdict.RenewInterval)
	d.ConsecutiveGoodProbes = 0
	d.ProbeAt = now.Add(holdOff(d.Relapses))
	verdict.Cast(w, now, svc, b)
	w.Record(now, event.BackendVoted, svc.Config.Name, b.Config.ID, fmt.Sprintf("score %.1f, seen failing by %d hosts, relapses %d", d.Relative, len(e.excluding), d.Relapses))
}

// resumeVotes takes up the votes that this host cast before it restarted, or before a server's process was replaced.
// No other host probes their servers and withdraws them.
func (s *System) resumeVotes(w *world.World, now time.Time, svc *world.Service) {
	for _, vote := range verdict.Own(w, svc.Config.Name) {
		b := svc.Backend(vote.Backend)
		if b == nil || b.Detection.Voted {
			continue
		}
		d := &b.Detection
		castAt := vote.CastAt
		if castAt.After(now) { // the wall clock has been set back
			castAt = now
		}
		d.Voted = true
		d.Relapses = vote.Relapses
		d.RenewAt = castAt.Add(verdict.RenewInterval)
		d.ConsecutiveGoodProbes = 0
		d.ProbeAt = castAt.Add(holdOff(vote.Relapses))
		svc.DetectionActive = true
		w.Record(now, event.BackendVoted, svc.Config.Name, b.Config.ID, fmt.Sprintf("vote of %s ago taken up again, relapses %d", now.Sub(castAt).Round(time.Millisecond), vote.Relapses))
	}
}

func holdOff(relapses int) time.Duration {
	hold := MinHoldOff
	for range relapses {
		hold = min(2*hold, MaxHoldOff)
	}
	return hold
}

// maintainVote renews the vote and probes the server for recovery.
func (s *System) maintainVote(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer) {
	d := &b.Detection
	if !now.Before(d.RenewAt) {
		d.RenewAt = now.Add(verdict.RenewInterval)
		verdict.Cast(w, now, svc, b)
	}
	// A server returns only if it also answers as fast as its peers.
	timeout := ProbeTimeout
	if slowAfter := svc.Latency.SlowAfter(); slowAfter > 0 {
		timeout = min(timeout, slowAfter)
	}
	scheduleProbe(w, now, svc, b, RecoveryProbeInterval, timeout)
}

func scheduleProbe(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, interval, timeout time.Duration) {
	if now.Before(b.Detection.ProbeAt) {
		return
	}
	b.Detection.ProbeAt = now.Add(interval)
	w.Outbox.Probes = append(w.Outbox.Probes, world.Probe{
		Service: svc.Config.Name,
		Backend: b.Config.ID,
		Address: b.Config.Address,
		Path:    svc.Config.Probe.Path,
		Timeout: timeout,
	})
}

// probeGood handles a successful probe. A server with a grey failure may still
// pass health checks, so only a probe of a path that does real work counts as
// evidence of health.
func (s *System) probeGood(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer, e *evidence, o *peerpb.Observation) {
	d := &b.Detection
	if !d.Voted {
		if svc.Config.Probe.Path != config.DefaultProbePath {
			e.countGood(svc, latencyOf(o))
		}
		return
	}
	d.ConsecutiveGoodProbes++
	if d.ConsecutiveGoodProbes < ProbesToRecover {
		return
	}
	d.Voted = false
	d.ReturnedAt = now
	*e = *newEvidence()
	verdict.Withdraw(w, now, svc, b)
	w.Record(now, event.BackendVoteEnded, svc.Config.Name, b.Config.ID, fmt.Sprintf("%d successful probes", ProbesToRecover))
}

// probeFailed handles a failed probe.
func (s *System) probeFailed(now time.Time, svc *world.Service, b *world.BackendServer, e *evidence) {
	b.Detection.ConsecutiveGoodProbes = 0
	if b.Detection.Voted {
		return
	}
	e.ownPending.Failed++
	noteFailure(now, svc, e)
}

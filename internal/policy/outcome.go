package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/protocol"
)

// What a request's end says of its server depends on its time: an error at once is
// the server's, one after the request's work most likely the request's own, and a
// connection that had been idle may have been forgotten.

// QuickErrorShare of a server's usual time ends what counts as an error at once: it lies
// between the errors of servers in a spell and those after a request's work.
const QuickErrorShare = 0.12

// Outcome is what became of one request at a backend server.
type Outcome int

// Outcomes.
const (
	// Good: a whole answer that is no error of the server.
	Good Outcome = iota
	// Failed: an error, a reset, a wrong, cut or missing answer.
	Failed
	// lateError: an error after the usual time of a request's work. The table
	// tells it from Failed itself.
	lateError
	// staleConnection: a connection that had been idle broke as soon as a request
	// was sent on it. The table tells it from Failed itself.
	staleConnection
	// Unreachable: no connection could be made.
	Unreachable
	// Shed: the server refused the request for lack of room.
	Shed
	// Abandoned: given up without an answer, because another server's copy won or
	// the caller went away.
	Abandoned
	// Neutral: nothing was learnt.
	Neutral
)

// Done is the end of one request that Pick gave a server.
type Done struct {
	Outcome Outcome
	// FirstByte is the time to the header of an answer, 0 if there was none.
	FirstByte time.Duration
	// Load is what the server told, nil if nothing.
	Load *protocol.Load
	// Bytes is the size of a good answer's body.
	Bytes int64
	// Reused is whether a failed request was sent on a connection that had been
	// used before, and Took the time until it broke or was given up.
	Reused bool
	Took   time.Duration
	// Unsent is set where no byte of the request reached the server.
	Unsent bool
	// TimedOut is set for a failed request that had no answer when its time was over.
	TimedOut bool
	// slowness is FirstByte against what is usual for the route and the queue, late
	// whether the answer came after the objective.
	slowness float64
	late     bool
	// unansweredLogOdds is the evidence, in log odds, of the time that it waited in vain.
	unansweredLogOdds float64
}

// Finish ends a request that Pick placed. It must be called once a placement.
func (t *Table) Finish(now time.Time, p *Placement, done Done) {
	s, ok := t.servers[p.key]
	if !ok {
		return
	}
	svc := t.service(p.key.service)
	svc.dirty = true
	if p.process != s.process { // says nothing of the process that has the ID now
		svc.totals.add(done)
		svc.recordOutcome(now, done)
		return
	}
	s.inFlight--
	s.removePending(p.pending)
	s.dirty = true
	if done.Unsent {
		s.undoUse(p.use)
	}
	done.slowness = float64(done.FirstByte) / float64(p.pending.atTypicalSpeed)
	done.late = now.After(p.objectiveAt)
	if done.TimedOut || done.Outcome == Abandoned {
		done.unansweredLogOdds = svc.requestLogOdds(done.Took, p.pending.expected)
	}
	done.Outcome = classify(p, done)
	if done.Outcome == staleConnection {
		svc.staleConnectionAt = now
	}
	if done.Outcome == Failed {
		svc.recordFailure(done.TimedOut)
	}
	s.applyOutcome(now, done)
	svc.totals.add(done)
	svc.recordOutcome(now, done)
	if done.Outcome == Good && done.FirstByte > 0 {
		t.recordLatency(now, s, svc, p, done)
	}
	if done.Load != nil && t.has(MechanismReportedLoad) {
		load := done.Load.Running + done.Load.Waiting
		s.recordReportedLoad(now, load)
		s.loadToForward = uint32(load) + 1
	}
}

// classify tells outcomes apart by their time.
func classify(p *Placement, done Done) Outcome {
	switch {
	case done.TimedOut && done.unansweredLogOdds < overdueLogOdds:
		return Abandoned // it had too little time to say much
	case done.Outcome == Failed && done.FirstByte > fastErrorLimit(p):
		return lateError
	case done.Outcome == Failed && done.Reused && done.Took < fastErrorLimit(p):
		return staleConnection
	default:
		return done.Outcome
	}
}

// recordLatency takes the time of a good answer.
func (t *Table) recordLatency(now time.Time, s *server, svc *service, p *Placement, done Done) {
	svc.latencies.add(float64(done.FirstByte) / float64(p.pending.expected))
	s.recordSlowness(done.slowness)
	atIdle := time.Duration(done.slowness * float64(p.pending.work))
	t.route(svc, p.group).record(now, atIdle, float64(done.Bytes))
	svc.typicalLatency += time.Duration(serviceLatencyWeight * float64(atIdle-svc.typicalLatency))
}

// applyOutcome takes an outcome.
func (s *server) applyOutcome(now time.Time, done Done) {
	s.counts.add(done)
	switch done.Outcome {
	case Good:
		s.health.observeSuccess(now)
		s.pathFailures = 0
		s.pathUntil = time.Time{}
	case Abandoned:
		s.counts.silentMillinats += uint64(1000 * max(done.unansweredLogOdds, 0))
		s.recordUnanswered(now, done.unansweredLogOdds)
	case Failed:
		s.health.observeFailure(now)
		s.failedAt = now
		s.failureUnsent = true
	case lateError, staleConnection:
		s.health.observeLateError(now)
	case Unreachable:
		s.health.observeUnreachable(now)
		s.failureUnsent = true
		hold := pathBackoff << min(s.pathFailures, 8)
		s.pathFailures++
		s.pathUntil = now.Add(min(hold, maxPathBackoff))
	}
}

// recordUnanswered takes the evidence of a request that was given up unanswered.
func (s *server) recordUnanswered(now time.Time, silence float64) {
	s.health.observeUnanswered(now, silence)
	if silence > overdueLogOdds {
		s.failedAt = now
	}
}

// fastErrorLimit is the time up to which an error comes too soon to be the
// request's own: the server did not work on it. Servers in a spell of failures
// answer errors at once; an error that belongs to a request takes its work.
func fastErrorLimit(p *Placement) time.Duration {
	return time.Duration(QuickErrorShare * float64(p.pending.work) * p.pending.slowness)
}

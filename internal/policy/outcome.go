package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/protocol"
)

// What the end of a request says about its server depends on the timing: an immediate error is
// caused by the server, one that comes after the work of the request most likely by the request
// itself, and a connection that had been idle may have been dropped by the server.

// FastErrorShare is the share of a server's typical latency up to which an error counts as
// immediate. It lies between the latency of errors of failing servers and that of errors which come
// after the work of a request.
const FastErrorShare = 0.12

// Outcome is the result of one request on a backend server.
type Outcome int

// Outcomes of a request.
const (
	// Good is a complete answer that is not a server error.
	Good Outcome = iota
	// Failed is an error, a connection reset, or a wrong, truncated or missing answer.
	Failed
	// lateError is an error that came after the typical work of a request. Finish distinguishes
	// it from Failed.
	lateError
	// staleConnection is a previously idle connection that broke as soon as a request was sent on
	// it. Finish distinguishes it from Failed.
	staleConnection
	// Unreachable means that no connection could be established.
	Unreachable
	// Shed means that the server refused the request for lack of capacity.
	Shed
	// Abandoned means that the request was given up without an answer, because the other copy was
	// answered first or the caller disconnected.
	Abandoned
	// Neutral means that nothing was learned about the server.
	Neutral
	// unattributed is a failed request without an answer from a server that this host cannot
	// connect to. Finish distinguishes it from Failed.
	unattributed
)

// Result describes the end of a request that Pick placed on a server.
type Result struct {
	Outcome Outcome
	// FirstByte is the time to the header of the answer, 0 if there was none.
	FirstByte time.Duration
	// Load is the load that the server reported, nil if it reported none.
	Load *protocol.Load
	// Bytes is the size of the body of a good answer.
	Bytes int64
	// Reused is set if a failed request was sent on a connection that had been used before.
	// Elapsed is the time until the request failed or was abandoned.
	Reused  bool
	Elapsed time.Duration
	// Unsent is set if no byte of the request reached the server.
	Unsent bool
	// TimedOut is set for a failed request that had no answer when its time ran out.
	TimedOut bool
	// NewConnection is set if an answer came on a connection that was opened for the request.
	NewConnection bool
	// ServerUnreachable is set if the connection broke and the server could not be connected to
	// after that.
	ServerUnreachable bool
	// slowness is the ratio of FirstByte to what is typical for the route and the queue. late is
	// set if the answer came after the objective.
	slowness float64
	late     bool
	// unansweredLogOdds is the evidence, in log odds, of the time that the request went unanswered.
	unansweredLogOdds float64
}

// Finish records the end of a request that Pick placed. It must be called exactly once per
// placement.
func (t *Table) Finish(now time.Time, p *Placement, done Result) {
	s, ok := t.servers[p.key]
	if !ok {
		t.removeWaiting(p.pending)
		return
	}
	svc := t.service(p.key.service)
	svc.dirty = true
	t.removeWaiting(p.pending)
	if done.Outcome == Shed {
		svc.refusedAt = now
	}
	if done.Outcome == Good && svc.shares != nil && p.customer != "" {
		svc.shares.Serve(now, p.customer)
	}
	if p.process != s.process { // says nothing about the current process
		svc.totals.add(done)
		svc.recordOutcome(now, done)
		return
	}
	s.inFlight--
	s.removePending(p.pending)
	s.dirty = true
	if done.Unsent {
		s.undoUse(p.pending.use)
	}
	done.slowness = float64(done.FirstByte) / float64(p.pending.atTypicalSpeed)
	done.late = now.After(p.objectiveAt)
	if done.TimedOut || done.Outcome == Abandoned {
		done.unansweredLogOdds = svc.requestLogOdds(done.Elapsed, p.pending.expected)
	}
	done.Outcome = s.classify(p, done)
	if done.Outcome == staleConnection {
		svc.staleConnectionAt = now
	}
	if done.Outcome == Failed {
		svc.recordFailure(done.TimedOut)
	}
	if done.isAnswer() {
		t.recordAnswered(now, s, done.NewConnection)
	}
	s.applyOutcome(now, done)
	if done.Outcome == Unreachable || done.ServerUnreachable {
		t.recordUnreachable(now, p.key, s)
	}
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

// isAnswer reports whether the server has answered.
func (r Result) isAnswer() bool {
	return r.FirstByte > 0 || r.Outcome == Good || r.Outcome == Shed
}

// classify distinguishes outcomes by their timing, and by whether this host reaches the server.
func (s *server) classify(p *Placement, done Result) Outcome {
	unreachable := s.pathFailures > 0 || done.ServerUnreachable
	switch {
	case unreachable && done.Outcome == Failed && !done.isAnswer():
		return unattributed
	case unreachable && done.Outcome == Abandoned:
		return Neutral
	case done.TimedOut && done.unansweredLogOdds < overdueLogOdds:
		return Abandoned // too little time to be evidence
	case done.Outcome == Failed && done.FirstByte > fastErrorLimit(p):
		return lateError
	case done.Outcome == Failed && done.Reused && done.Elapsed < fastErrorLimit(p):
		return staleConnection
	default:
		return done.Outcome
	}
}

// recordLatency updates the latency statistics with a good answer.
func (t *Table) recordLatency(now time.Time, s *server, svc *service, p *Placement, done Result) {
	svc.latencies.add(float64(done.FirstByte) / float64(p.pending.expected))
	s.recordSlowness(done.slowness)
	atIdle := time.Duration(done.slowness * float64(p.pending.work))
	t.route(svc, p.group).record(now, atIdle, float64(done.Bytes))
	svc.typicalLatency += time.Duration(serviceLatencyWeight * float64(atIdle-svc.typicalLatency))
}

// applyOutcome updates the server's state with an outcome of this host.
func (s *server) applyOutcome(now time.Time, done Result) {
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
	}
}

// recordUnanswered adds the evidence of a request that was abandoned without an answer.
func (s *server) recordUnanswered(now time.Time, logOdds float64) {
	s.health.observeUnanswered(now, logOdds)
	if logOdds > overdueLogOdds {
		s.failedAt = now
	}
}

// fastErrorLimit is the latency up to which an error cannot be the result of the request's own
// work. Failing servers return errors immediately; an error caused by a request takes the time of
// its work.
func fastErrorLimit(p *Placement) time.Duration {
	return time.Duration(FastErrorShare * float64(p.pending.work) * p.pending.slowness)
}

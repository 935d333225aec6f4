package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/logging"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// slowAfter is the duration from which a request is always logged, if its route has no
	// latency objective.
	slowAfter = time.Second
	// sampleOneIn is the sampling rate of log lines about routine requests.
	sampleOneIn = 100
	// requestLinesPerSecond bounds the log lines about requests on one host. Suppressed lines
	// are counted, and the count is logged with the next line.
	requestLinesPerSecond = 100
)

// attempt is the log record of one attempt.
type attempt struct {
	server string
	// belief is the probability that the server was failing, load its load, when it was
	// picked.
	belief    float64
	load      float64
	startedAt time.Time
	duration  time.Duration
	result    string
	// fate is what became of the server if the connection broke, empty otherwise.
	fate string
	// knownState is the reason, known from earlier responses, why the server should not have
	// got the request when it was picked. reported is the state in its response. Both are
	// empty for none.
	knownState string
	reported   string
	// purpose is why the server got the request, empty for its first send.
	purpose purpose
	// namesRateLimit is set if the server reports a rate limit in its response.
	namesRateLimit bool
	// connection describes the connection, empty before it is known.
	connection string
	// response is the status of the response and whose it is, empty for none.
	response string
	// evidence shows that this send has not run the request, empty if it may have.
	evidence notRunEvidence
}

// notRunEvidence is what shows that a server has not run a request, and never will.
type notRunEvidence string

// Evidence of a send that did not run the request.
const (
	// evidenceRejection: the server rejected the request in a response to it.
	evidenceRejection notRunEvidence = "rejection"
	// evidenceUnwritten: no byte was written to the connection, and none can be.
	evidenceUnwritten notRunEvidence = "unwritten"
	// evidenceUnsent: the request was given no connection.
	evidenceUnsent notRunEvidence = "unsent"
	// evidenceHost: another host stated that no server has run the request.
	evidenceHost notRunEvidence = "host"
)

const (
	// maxLoggedID bounds the length of another request's ID in the log.
	maxLoggedID = 40
	// maxLoggedOwnID bounds the length of a request's own ID, which its caller may choose.
	maxLoggedOwnID = 256
)

// purpose is why a request is sent to a server when another one has, or has had, it.
type purpose string

// Purposes of sends after the first.
const (
	purposeRetry purpose = "retry"
	purposeCopy  purpose = "copy"
	purposeTrial purpose = "trial"
	purposeRelay purpose = "relay" // to another host
)

// trace is the log record of one request.
type trace struct {
	attempts []*attempt
	// retryWithheld is the state of the retry allowance that kept the request from being retried,
	// empty if none was.
	retryWithheld string
	// waited is how long the request last waited for a free slot in this host and how that ended,
	// empty if it did not wait.
	waited string
}

// beginAttempt records the pick of a server.
func (x *exchange) beginAttempt(lease *serverLease, why purpose) {
	lease.attempt = &attempt{server: lease.Server.ID, belief: lease.belief, load: lease.load, startedAt: time.Now(), knownState: x.knownState(lease), purpose: why}
	x.trace.attempts = append(x.trace.attempts, lease.attempt)
}

// purpose is why the next send of the request is made if no server is processing it.
func (x *exchange) purpose() purpose {
	if x.attemptsArrived > 0 {
		return purposeRetry
	}
	return ""
}

// finish records the result of an attempt. Only the first result counts.
func (t *attempt) finish(result string) {
	if t.result == "" {
		t.result = result
		t.duration = time.Since(t.startedAt)
	}
}

// recordResponse records a response, its connection, and whose response it is.
func (t *attempt) recordResponse(response *upstream.Answer, idHeader, ownID string) {
	t.connection = formatConnection(response.Reused, response.Earlier)
	t.response = strconv.Itoa(response.StatusCode) + ":" + formatResponseID(response.Header.Get(idHeader), ownID)
}

// recordFailure records the connection of a send without a response, and the evidence if the
// request was not sent.
func (t *attempt) recordFailure(failure *upstream.Failure) {
	if failure.Assigned {
		t.connection = formatConnection(failure.Reused, failure.Earlier)
	}
	switch {
	case failure.Written:
	case failure.Assigned:
		t.evidence = evidenceUnwritten
	default:
		t.evidence = evidenceUnsent
	}
}

// formatConnection returns "new", or "kept/N" with the number of earlier requests.
func formatConnection(reused bool, earlier int) string {
	if !reused {
		return "new"
	}
	return "kept/" + strconv.Itoa(earlier)
}

// formatResponseID returns "own", "none", or "id:" and the ID of another request, reduced to
// characters that cannot be confused with the log's own.
func formatResponseID(id, own string) string {
	switch id {
	case own:
		return "own"
	case "":
		return "none"
	}
	return "id:" + strings.Map(func(r rune) rune {
		if r <= ' ' || r == ';' || r == '=' || r >= 0x7f {
			return '_'
		}
		return r
	}, id[:min(len(id), maxLoggedID)])
}

// namesRateLimit reports whether a server has reported a rate limit: every request to such a
// server must be in the log.
func (t *trace) namesRateLimit() bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.namesRateLimit })
}

// String lists the attempts: server, result, duration, and what decided the pick.
func (t *trace) String() string {
	var text strings.Builder
	for i, a := range t.attempts {
		if i > 0 {
			text.WriteString("; ")
		}
		text.WriteString(a.server + " " + a.result)
		if a.fate != "" {
			text.WriteString(" server=" + a.fate)
		}
		if a.purpose != "" {
			text.WriteString(" as=" + string(a.purpose))
		}
		if a.knownState != "" {
			text.WriteString(" known=" + a.knownState)
		}
		if a.reported != "" {
			text.WriteString(" said=" + a.reported)
		}
		if a.connection != "" {
			text.WriteString(" conn=" + a.connection)
		}
		if a.response != "" {
			text.WriteString(" got=" + a.response)
		}
		if a.evidence != "" {
			text.WriteString(" not-run-by=" + string(a.evidence))
		}
		text.WriteString(" took=" + a.duration.Round(time.Millisecond).String())
		text.WriteString(" belief=" + strconv.FormatFloat(a.belief, 'f', 2, 64))
		text.WriteString(" load=" + strconv.FormatFloat(a.load, 'f', 1, 64))
	}
	return text.String()
}

// requestLog limits the log lines about requests.
type requestLog struct {
	routine atomic.Uint64
	limit   *logging.LineLimiter
}

// shouldLog reports whether a request is logged: all that failed, were refused, retried or
// slow, and a sample of the others.
func (l *requestLog) shouldLog(now time.Time, routine bool) bool {
	if routine && l.routine.Add(1)%sampleOneIn != 0 {
		return false
	}
	return l.limit.Allow(now)
}

// relayedFor is the host that relayed the request to this one, empty for none. That host logs the
// request too, other than one that forwards to owner hosts.
func (r *Request) relayedFor() string {
	if !r.Relayed {
		return ""
	}
	return r.ForwardedBy
}

// slowAfter is the duration from which a served request counts as slow.
func (r *Request) slowAfter() time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return slowAfter
}

// logRequest logs a request that has its final response.
func (x *exchange) logRequest(refusal *Refusal) {
	took := time.Since(x.start)
	routine := refusal == nil && x.status < 500 && len(x.trace.attempts) == 1 && took < x.req.slowAfter() && !x.trace.namesRateLimit()
	x.d.logLine(x.req, routine, refusal, x.status, took, &x.trace)
}

// RecordRefusal records a request that was refused before it reached Serve.
func (d *Dispatcher) RecordRefusal(req *Request, refusal *Refusal) {
	if refusal.Err.Kind == errs.KindCustomerLimit && d.balance != nil {
		d.balance.NoteLimited(req.Service)
	}
	d.logLine(req, false, refusal, refusal.Status, 0, &trace{})
}

func (d *Dispatcher) logLine(req *Request, routine bool, refusal *Refusal, status int, took time.Duration, t *trace) {
	if !d.requestLog.shouldLog(time.Now(), routine) {
		return
	}
	outcome, reason := OutcomeComplete, ""
	if refusal != nil {
		outcome, status, reason = refusal.Outcome, refusal.Status, refusal.Err.Error()
	}
	snap := d.snapshot()
	servers := 0
	if view, ok := snap.Services[req.Service]; ok {
		servers = len(view.Backends)
	}
	klog.InfoS("request",
		"request", req.ID[:min(len(req.ID), maxLoggedOwnID)],
		"service", req.Service,
		"customer", req.Customer,
		"for", req.relayedFor(),
		"content", req.contentLabel(),
		"idempotent", req.Idempotent,
		"outcome", string(outcome),
		"status", status,
		"reason", reason,
		"took", took.Round(time.Millisecond),
		"left", time.Until(req.Deadline).Round(time.Millisecond),
		"version", snap.Revisions[world.KeyPublished],
		"servers", servers,
		"tries", t.String(),
		"retry", t.retryWithheld,
		"waited", t.waited,
		"missed", d.requestLog.limit.TakeSuppressed())
}

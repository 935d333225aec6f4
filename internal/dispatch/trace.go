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
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// slowAfter makes a request worth a line of its own, if its route has no latency
	// objective.
	slowAfter = time.Second
	// sampleOneIn is how many plain requests there are for each line about one.
	sampleOneIn = 100
	// linesPerSecond bounds the lines about requests on one host; what does not
	// fit is counted and told with the next line that does.
	linesPerSecond = 100
)

// try is what is logged of one try.
type try struct {
	server string
	// belief that the server was failing, and its load, when it was picked.
	belief float64
	load   float64
	began  time.Time
	took   time.Duration
	result string
	// fate is what became of the server where the connection broke, empty elsewhere.
	fate string
	// known is why the server should have had no request when it was picked, by what it
	// had said before, and said is what it says of itself in its answer; empty for nothing.
	known string
	said  string
	// purpose is why the server was sent the request, empty for its first send.
	purpose purpose
	// limited is set if the server names a rate limit in its answer.
	limited bool
}

// purpose is why a server is sent a request that another one has had, or has.
type purpose string

// Purposes of sends after the first.
const (
	purposeRetry purpose = "retry"
	purposeCopy  purpose = "copy"
	purposeTrial purpose = "trial"
)

// trace is what is logged of one request.
type trace struct {
	tries []*try
}

// begin notes a pick.
func (x *exchange) begin(lease *place, why purpose) {
	lease.try = &try{server: lease.Server.ID, belief: lease.belief, load: lease.load, began: time.Now(), known: x.knownOf(lease), purpose: why}
	x.trace.tries = append(x.trace.tries, lease.try)
}

// purpose is why the next send of the request is made, where no server works on it.
func (x *exchange) purpose() purpose {
	if x.arrived > 0 {
		return purposeRetry
	}
	return ""
}

// end notes what became of a try. The first result counts.
func (t *try) end(result string) {
	if t.result == "" {
		t.result = result
		t.took = time.Since(t.began)
	}
}

// limited reports whether a server has named a rate limit: every request that such a server
// gets must be seen in the log.
func (t *trace) limited() bool {
	return slices.ContainsFunc(t.tries, func(one *try) bool { return one.limited })
}

// String lists the tries: server, result, time taken, and what decided the pick.
func (t *trace) String() string {
	var text strings.Builder
	for i, one := range t.tries {
		if i > 0 {
			text.WriteString("; ")
		}
		text.WriteString(one.server + " " + one.result)
		if one.fate != "" {
			text.WriteString(" server=" + one.fate)
		}
		if one.purpose != "" {
			text.WriteString(" as=" + string(one.purpose))
		}
		if one.known != "" {
			text.WriteString(" known=" + one.known)
		}
		if one.said != "" {
			text.WriteString(" said=" + one.said)
		}
		text.WriteString(" took=" + one.took.Round(time.Millisecond).String())
		text.WriteString(" belief=" + strconv.FormatFloat(one.belief, 'f', 2, 64))
		text.WriteString(" load=" + strconv.FormatFloat(one.load, 'f', 1, 64))
	}
	return text.String()
}

// requestLog bounds the lines about requests.
type requestLog struct {
	plain atomic.Uint64
	limit *logging.Limit
}

// wants reports whether a request gets a line: all that failed, were refused,
// repeated or slow, and a sample of the others.
func (l *requestLog) wants(now time.Time, plain bool) bool {
	if plain && l.plain.Add(1)%sampleOneIn != 0 {
		return false
	}
	return l.limit.Allows(now)
}

// slowAfter is the time from which on a served request counts as slow.
func (r *Request) slowAfter() time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return slowAfter
}

// logRequest writes the line about a request that has its final answer.
func (x *exchange) logRequest(refusal *Refusal) {
	took := time.Since(x.start)
	plain := refusal == nil && x.status < 500 && len(x.trace.tries) == 1 && took < x.req.slowAfter() && !x.trace.limited()
	x.d.logLine(x.req, plain, refusal, x.status, took, &x.trace)
}

// Refused notes a request that was refused before it came to a Dispatcher.
func (d *Dispatcher) Refused(req *Request, refusal *Refusal) {
	if refusal.Err.Kind == errs.KindCustomerLimit && d.balance != nil {
		d.balance.NoteLimited(req.Service)
	}
	d.logLine(req, false, refusal, refusal.Status, 0, &trace{})
}

func (d *Dispatcher) logLine(req *Request, plain bool, refusal *Refusal, status int, took time.Duration, tries *trace) {
	if !d.requestLog.wants(time.Now(), plain) {
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
		"request", req.ID,
		"service", req.Service,
		"customer", req.Customer,
		"content", req.contentLabel(),
		"idempotent", req.Idempotent,
		"outcome", string(outcome),
		"status", status,
		"reason", reason,
		"took", took.Round(time.Millisecond),
		"left", time.Until(req.Deadline).Round(time.Millisecond),
		"version", snap.Revisions[world.KeyPublished],
		"servers", servers,
		"tries", tries.String(),
		"missed", d.requestLog.limit.TakeMissed())
}

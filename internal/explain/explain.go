package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/policy"
)

const (
	// around is how far other lines may lie from the request to count: spells of
	// failures last some 10 s.
	around = 5 * time.Second
	// known is the belief from which on a server was held for failing.
	known = 0.5
)

// endedUnder is in the reason of a request that was refused because it ends servers.
const endedUnder = "servers ended under"

// Report is what the logs say of a request.
type Report struct {
	Request string
	// Cause is one sentence.
	Cause string
	// Steps are what happened, in order; Around are what else the logs show of
	// the hosts and servers at that time.
	Steps  []string
	Around []string
}

// Request explains one request. One without a line is explained by what the
// hosts did at any time.
func (l *Logs) Request(id string) Report {
	report := Report{Request: id}
	i := slices.IndexFunc(l.requests, func(r line) bool { return r.fields["request"] == id })
	if i < 0 {
		l.withoutLine(&report)
		return report
	}
	r := l.requests[i]
	tries := parseTries(r.fields["tries"])
	report.Steps = append(report.Steps, fmt.Sprintf("%s %s answers for service %s: outcome %s, status %s, after %s, %s before the deadline, configuration version %s",
		r.at.Format(time.TimeOnly), r.host, r.fields["service"], r.fields["outcome"], r.fields["status"], r.fields["took"], r.fields["left"], r.fields["version"]))
	for n, t := range tries {
		report.Steps = append(report.Steps, fmt.Sprintf("try %d: server %s, %s after %s; when picked: belief that it fails %.2f, %.1f requests there", n+1, t.server, t.result, t.took, t.belief, t.load))
	}
	if reason := r.fields["reason"]; reason != "" {
		report.Steps = append(report.Steps, "reason given: "+reason)
	}
	report.Cause = l.cause(r, tries)
	for _, t := range tries {
		report.Around = append(report.Around, l.serverAround(r, t.server))
	}
	report.Around = append(report.Around, l.eventsAround(r)...)
	return report
}

// withoutLine explains a request that no host has a line about.
func (l *Logs) withoutLine(report *Report) {
	report.Cause = "no host has a line about it: it was served at the first try within a second, its line did not fit (missed= on later lines), or its host was killed or cut off before it could answer"
	for _, e := range l.events {
		if slices.Contains([]string{"host-started", "host-paused", "host-stopping", "member-dead"}, e.message) {
			report.Around = append(report.Around, describe(e))
		}
	}
	for _, r := range l.requests {
		if missed := r.fields["missed"]; missed != "" && missed != "0" {
			report.Around = append(report.Around, fmt.Sprintf("%s %s wrote no line about %s requests", r.at.Format(time.TimeOnly), r.host, missed))
		}
	}
}

// decisive is the last try that was not given up for another one.
func decisive(tries []try) try {
	for _, t := range slices.Backward(tries) {
		if !t.abandoned() {
			return t
		}
	}
	return tries[len(tries)-1]
}

// cause names the reason by the last try and the outcome.
func (l *Logs) cause(r line, tries []try) string {
	if len(tries) == 0 {
		return unsentCause(r)
	}
	last := decisive(tries)
	kind, _, _ := strings.Cut(last.result, "/")
	switch {
	case !last.failed():
		return "server " + last.server + " answered it"
	case kind == "not-run":
		return l.shedCause(r, tries)
	case kind == "dial-failed":
		return "no connection to server " + last.server + " could be made from " + r.host + ", and no other server was tried in the time left"
	case kind == "deadline-exceeded":
		return "server " + last.server + " did not answer in the time that the request had"
	case kind == "canceled":
		return "the caller went away before server " + last.server + " answered"
	case last.fate == "ended":
		return "server " + last.server + " ended while it had the request: it may have run; if that comes again at other servers, show quarantine has it" + repeatNote(r)
	case kind == "answer-broken" || kind == "cut-short":
		return "the connection to server " + last.server + " broke after the request was sent: it may have run" + repeatNote(r)
	case kind == "wrong-answer":
		return "server " + last.server + " sent an answer that is not this request's" + repeatNote(r)
	case strings.HasSuffix(last.result, "/504"):
		return "server " + last.server + " gave up at the deadline"
	default:
		return l.errorCause(r, last) + repeatNote(r)
	}
}

// unsentCause names the reason of a request that was sent to no server.
func unsentCause(r line) string {
	switch r.fields["status"] {
	case "401":
		return "no customer holds the key that it came with; it has not run"
	case "429":
		return "customer " + r.fields["customer"] + " was beyond its limit over all hosts (" + r.fields["reason"] + "); it has not run"
	}
	if reason := r.fields["reason"]; strings.Contains(reason, endedUnder) {
		return "refused, because " + reason + "; it has not run"
	}
	return "it was sent to no server: " + r.fields["reason"]
}

func repeatNote(r line) string {
	if r.fields["idempotent"] == "true" {
		return "; it could be repeated, but its tries, its time or the retry allowance were spent"
	}
	return "; it must not run twice, so it was not sent again"
}

// errorCause tells a failing server from an error of the request's own.
func (l *Logs) errorCause(r line, last try) string {
	usual := l.usualTime(r.fields["service"])
	if usual > 0 && float64(last.took) > policy.QuickErrorShare*float64(usual) {
		return fmt.Sprintf("server %s worked on it for %s, about as long as usual (%s), and answered an error: most likely the request's own", last.server, last.took, usual)
	}
	if last.belief >= known {
		return fmt.Sprintf("server %s was known to fail (belief %.2f) and was picked because the others were worse, full or not to be reached", last.server, last.belief)
	}
	return fmt.Sprintf("server %s failed it at once, and this host did not know yet that it was failing (belief %.2f): it was among the first requests to meet the spell", last.server, last.belief)
}

func (l *Logs) shedCause(r line, tries []try) string {
	refused := 0
	for _, t := range tries {
		if strings.HasPrefix(t.result, "not-run") {
			refused++
		}
	}
	return fmt.Sprintf("overload: %d servers refused it without running it, and the fleet's retry allowance or its tries were spent; it has not run", refused)
}

// usualTime is the median time of good answers of a service, 0 if the logs have
// none.
func (l *Logs) usualTime(service string) time.Duration {
	var times []time.Duration
	for _, r := range l.requests {
		if r.fields["service"] != service {
			continue
		}
		for _, t := range parseTries(r.fields["tries"]) {
			if strings.HasPrefix(t.result, "answered/2") {
				times = append(times, t.took)
			}
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// serverAround counts what other requests met at a server at that time.
func (l *Logs) serverAround(r line, server string) string {
	failed, all := 0, 0
	for _, other := range l.requests {
		if other.fields["request"] == r.fields["request"] || distance(other.at, r.at) > around {
			continue
		}
		for _, t := range parseTries(other.fields["tries"]) {
			if t.server != server || t.abandoned() {
				continue
			}
			all++
			if t.failed() {
				failed++
			}
		}
	}
	return fmt.Sprintf("server %s within %s: %d of the %d other logged tries failed (good ones are logged one in a hundred)", server, around, failed, all)
}

// eventsAround lists what the request's host and its servers went through.
func (l *Logs) eventsAround(r line) []string {
	var found []string
	for _, e := range l.events {
		if distance(e.at, r.at) > around {
			continue
		}
		concerns := e.host == r.host && e.fields["event"] != "" && e.message != "config-applied" && e.message != "member-joined" && e.message != "member-alive"
		if concerns || e.fields["backend"] != "" && strings.Contains(r.fields["tries"], e.fields["backend"]) {
			found = append(found, describe(e))
		}
	}
	return found
}

func distance(a, b time.Time) time.Duration { return a.Sub(b).Abs() }

func describe(e line) string {
	return strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %s %s", e.at.Format(time.TimeOnly), e.host, e.message, e.fields["backend"], e.fields["detail"])), " ")
}

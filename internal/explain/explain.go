package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// contextWindow is the largest time between a request and another line that is considered related.
	// Failures of a server typically last about 10 s.
	contextWindow = 5 * time.Second
	// failingBelief is the lowest belief at which a server is considered failing.
	failingBelief = 0.5
)

// Report is what the logs show about a request.
type Report struct {
	Request string
	// Cause explains the outcome in one sentence.
	Cause string
	// Steps lists what happened to the request, in order. Context lists what else the logs show about
	// the hosts and servers at that time.
	Steps   []string
	Context []string
}

// Request explains one request. If no host logged it, the report lists host restarts and unlogged
// requests of the whole period instead.
func (l *Logs) Request(id string) Report {
	report := Report{Request: id}
	i := slices.IndexFunc(l.requests, func(r line) bool { return r.fields["request"] == id && !r.isForOtherHost() })
	if i < 0 {
		l.explainUnlogged(&report)
		return report
	}
	r := l.requests[i]
	attempts := parseAttempts(r.fields["tries"])
	report.Steps = append(report.Steps, fmt.Sprintf("%s %s answers for service %s: outcome %s, status %s, after %s, %s before the deadline, configuration version %s",
		r.at.Format(time.TimeOnly), r.host, r.fields["service"], r.fields["outcome"], r.fields["status"], r.fields["took"], r.fields["left"], r.fields["version"]))
	if waited := r.fields["waited"]; waited != "" {
		report.Steps = append(report.Steps, "waited in the host for a free slot: "+waited)
	}
	for n, t := range attempts {
		report.Steps = append(report.Steps, fmt.Sprintf("attempt %d: %s", n+1, t.describe()))
	}
	if reason := r.fields["reason"]; reason != "" {
		report.Steps = append(report.Steps, "reason given: "+reason)
	}
	for _, other := range l.relayedLines(id) {
		report.Steps = append(report.Steps, relaySteps(other)...)
	}
	report.Cause = l.cause(r, attempts).Text
	for _, t := range attempts {
		if !t.isRelay() {
			report.Context = append(report.Context, l.serverContext(r, t.server))
		}
	}
	report.Context = append(report.Context, l.eventContext(r)...)
	return report
}

// relayedLines returns the lines of hosts that a request was relayed to, in order.
func (l *Logs) relayedLines(id string) []line {
	var found []line
	for _, r := range l.requests {
		if r.fields["request"] == id && r.isForOtherHost() {
			found = append(found, r)
		}
	}
	return found
}

// relaySteps describes what a host did with a request that was relayed to it.
func relaySteps(r line) []string {
	steps := []string{fmt.Sprintf("%s %s served it for %s: outcome %s, status %s, after %s", r.at.Format(time.TimeOnly), r.host, r.fields["for"], r.fields["outcome"], r.fields["status"], r.fields["took"])}
	for n, t := range parseAttempts(r.fields["tries"]) {
		steps = append(steps, fmt.Sprintf("attempt %d there: %s", n+1, t.describe()))
	}
	return steps
}

// explainUnlogged explains a request that no host logged.
func (l *Logs) explainUnlogged(report *Report) {
	report.Cause = "no host has a line about it: it was served at the first attempt within a second, its line was dropped (missed= on later lines), or its host was killed or cut off before it could answer"
	for _, e := range l.events {
		if slices.Contains([]string{"host-started", "host-paused", "host-stopping", "member-dead"}, e.message) {
			report.Context = append(report.Context, formatEvent(e))
		}
	}
	for _, r := range l.requests {
		if missed := r.fields["missed"]; missed != "" && missed != "0" {
			report.Context = append(report.Context, fmt.Sprintf("%s %s did not log %s requests", r.at.Format(time.TimeOnly), r.host, missed))
		}
	}
}

// typicalLatency returns the median latency of successful attempts of a service, or 0 if the logs
// contain none.
func (l *Logs) typicalLatency(service string) time.Duration {
	if l.typicalLatencies == nil {
		l.typicalLatencies = make(map[string]time.Duration)
	}
	typical, known := l.typicalLatencies[service]
	if !known {
		typical = l.medianLatency(service)
		l.typicalLatencies[service] = typical
	}
	return typical
}

func (l *Logs) medianLatency(service string) time.Duration {
	var times []time.Duration
	for _, r := range l.requests {
		if r.fields["service"] != service {
			continue
		}
		for _, t := range parseAttempts(r.fields["tries"]) {
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

// serverContext summarises the attempts of other requests at a server at that time.
func (l *Logs) serverContext(r line, server string) string {
	failed, all := 0, 0
	for _, other := range l.requests {
		if other.fields["request"] == r.fields["request"] || timeBetween(other.at, r.at) > contextWindow {
			continue
		}
		for _, t := range parseAttempts(other.fields["tries"]) {
			if t.server != server || t.abandoned() {
				continue
			}
			all++
			if t.failed() {
				failed++
			}
		}
	}
	return fmt.Sprintf("server %s within %s: %d of the %d other logged attempts failed (one in a hundred successful ones is logged)", server, contextWindow, failed, all)
}

// eventContext lists the events of the request's host and of its servers at that time.
func (l *Logs) eventContext(r line) []string {
	var found []string
	for _, e := range l.events {
		if timeBetween(e.at, r.at) > contextWindow {
			continue
		}
		concerns := e.host == r.host && e.fields["event"] != "" && e.message != "config-applied" && e.message != "member-joined" && e.message != "member-alive"
		if concerns || e.fields["backend"] != "" && strings.Contains(r.fields["tries"], e.fields["backend"]) {
			found = append(found, formatEvent(e))
		}
	}
	return found
}

func timeBetween(a, b time.Time) time.Duration { return a.Sub(b).Abs() }

func formatEvent(e line) string {
	return strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %s %s", e.at.Format(time.TimeOnly), e.host, e.message, e.fields["backend"], e.fields["detail"])), " ")
}

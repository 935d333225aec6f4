package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// around is how far other lines may lie from the request to count: spells of
	// failures last some 10 s.
	around = 5 * time.Second
	// known is the belief from which on a server was held for failing.
	known = 0.5
)

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
		report.Steps = append(report.Steps, fmt.Sprintf("try %d: %s", n+1, t.step()))
	}
	if reason := r.fields["reason"]; reason != "" {
		report.Steps = append(report.Steps, "reason given: "+reason)
	}
	report.Cause = l.cause(r, tries).Text
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

// usualTime is the median time of good answers of a service, 0 if the logs have
// none.
func (l *Logs) usualTime(service string) time.Duration {
	if l.usual == nil {
		l.usual = make(map[string]time.Duration)
	}
	usual, known := l.usual[service]
	if !known {
		usual = l.medianTime(service)
		l.usual[service] = usual
	}
	return usual
}

func (l *Logs) medianTime(service string) time.Duration {
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

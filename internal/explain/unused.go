package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/logging"
)

// UnusedSpan is a period in which, as far as most of the hosts that use a backend server knew, no host
// sent a request to it.
type UnusedSpan struct {
	Service string
	Server  string
	// From is the time of the last request before the period and To that of the first one after it,
	// zero if the logs contain none.
	From, To time.Time
	// Hosts is the number of hosts that had the server out of use, of the TotalHosts hosts of its data
	// centre that use it.
	Hosts      int
	TotalHosts int
	// Views are what these hosts logged when they found the server out of use, in order of time.
	Views []UnusedView
}

// UnusedView is why one host sent no requests to a server that was out of use.
type UnusedView struct {
	Host     string
	Reason   string  // the policy's reason, or what the server had reported
	Belief   float64 // the probability, as this host estimated it, that the server was failing
	Degraded bool    // many requests of the service were unserved
	Limited  bool    // many were refused beyond their customers' limits
}

// Unused lists the periods in which servers were out of use.
type Unused struct {
	Spans []UnusedSpan // sorted by From
	// MissedLines counts lines about the use of servers that hosts omitted.
	MissedLines int
}

// Unused returns the spans that last for least or longer, of all services if service is empty. If at is
// not zero, it returns only the spans that contain it.
func (l *Logs) Unused(service string, least time.Duration, at time.Time) Unused {
	var unused Unused
	for _, lines := range l.usageLines(service, &unused.MissedLines) {
		for _, span := range buildSpans(lines) {
			if span.lastsAtLeast(least) && (at.IsZero() || span.contains(at)) {
				unused.Spans = append(unused.Spans, span)
			}
		}
	}
	slices.SortFunc(unused.Spans, func(a, b UnusedSpan) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return unused
}

type serverKey struct{ service, server string }

// usageLines returns the lines about the use of servers, by server and in order of time.
func (l *Logs) usageLines(service string, missed *int) map[serverKey][]line {
	found := make(map[serverKey][]line)
	for _, e := range l.events {
		if e.message != logging.OutOfUse && e.message != logging.InUse {
			continue
		}
		*missed += e.missed()
		if service != "" && e.fields["service"] != service {
			continue
		}
		name := serverKey{e.fields["service"], e.fields["backend"]}
		found[name] = append(found[name], e)
	}
	for _, lines := range found {
		slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	}
	return found
}

// buildSpans returns the spans of one server. A span ends as soon as the first host knows of a request.
func buildSpans(lines []line) []UnusedSpan {
	var spans []UnusedSpan
	var open *UnusedSpan
	idleSince := make(map[string]time.Time) // by host that has the server out of use
	for _, l := range lines {
		if l.message == logging.InUse {
			delete(idleSince, l.host)
			if open != nil {
				open.To = l.lastRequestAt()
			}
			spans, open = open.appendTo(spans), nil
			continue
		}
		idleSince[l.host] = l.lastRequestAt()
		if open == nil {
			open = &UnusedSpan{Service: l.fields["service"], Server: l.fields["backend"]}
		}
		open.addView(l, idleSince)
	}
	return open.appendTo(spans)
}

// lastRequestAt returns the time of the last request to the server that the line is about.
func (l line) lastRequestAt() time.Time {
	idle, _ := time.ParseDuration(l.fields["idle"]) // 0 if the line was truncated
	return l.at.Add(-idle)
}

// addView adds the view of another host that has the server out of use.
func (s *UnusedSpan) addView(l line, idleSince map[string]time.Time) {
	belief, _ := strconv.ParseFloat(l.fields["belief"], 64) // 0 if the line was truncated
	sharing, _ := strconv.Atoi(l.fields["hosts"])           // likewise
	s.Views = append(s.Views, UnusedView{
		Host:     l.host,
		Reason:   l.fields["why"],
		Belief:   belief,
		Degraded: l.fields["troubled"] == "true",
		Limited:  l.fields["limited"] == "true",
	})
	s.TotalHosts = max(s.TotalHosts, sharing)
	s.Hosts = max(s.Hosts, len(idleSince))
	for _, since := range idleSince {
		if s.From.IsZero() || since.After(s.From) {
			s.From = since
		}
	}
}

// appendTo appends the span to spans if most hosts had the server out of use. A single host is not
// enough, as one that is partitioned from the others does not learn of their requests. s may be nil.
func (s *UnusedSpan) appendTo(spans []UnusedSpan) []UnusedSpan {
	if s == nil || 2*s.Hosts <= s.TotalHosts {
		return spans
	}
	return append(spans, *s)
}

func (s *UnusedSpan) lastsAtLeast(least time.Duration) bool {
	return s.To.IsZero() || s.To.Sub(s.From) >= least
}

func (s *UnusedSpan) contains(at time.Time) bool {
	return !s.From.After(at) && (s.To.IsZero() || s.To.After(at))
}

// Duration returns how long the server was out of use, or "still" if the span has no end.
func (s UnusedSpan) Duration() string {
	if s.To.IsZero() {
		return "still"
	}
	return s.To.Sub(s.From).Round(time.Millisecond).String()
}

// Reasons returns why hosts sent no requests to the server: each reason with the number of hosts that
// gave it and the highest belief among them.
func (s UnusedSpan) Reasons() string {
	type reason struct {
		text   string
		hosts  int
		belief float64
	}
	var reasons []reason
	for _, v := range s.Views {
		i := slices.IndexFunc(reasons, func(r reason) bool { return r.text == v.text() })
		if i < 0 {
			reasons = append(reasons, reason{text: v.text()})
			i = len(reasons) - 1
		}
		reasons[i].hosts++
		reasons[i].belief = max(reasons[i].belief, v.Belief)
	}
	var parts []string
	for _, r := range reasons {
		parts = append(parts, fmt.Sprintf("%s (%d, belief %.2f)", r.text, r.hosts, r.belief))
	}
	return strings.Join(parts, "; ")
}

func (v UnusedView) text() string {
	text := v.Reason
	if v.Degraded {
		text += ", many unserved"
	}
	if v.Limited {
		text += ", many beyond limits"
	}
	return text
}

// TimeOfDay returns the given time on the day of the first line, or the zero time if text is empty.
func (l *Logs) TimeOfDay(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	clock, err := time.Parse(time.TimeOnly, text)
	if err != nil {
		return time.Time{}, errs.Wrap(err, errs.KindBadRequest, "cannot parse the time of day", "use the format 15:04:05.000")
	}
	var day time.Time
	for _, lines := range [][]line{l.requests, l.events} {
		if len(lines) > 0 {
			day = lines[0].at
		}
	}
	return time.Date(day.Year(), day.Month(), day.Day(), clock.Hour(), clock.Minute(), clock.Second(), clock.Nanosecond(), day.Location()), nil
}

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

// UnusedSpan is a time in which no host sent a request to a backend server, as far as most of the
// hosts that use it knew.
type UnusedSpan struct {
	Service string
	Server  string
	// From is when the last request was sent there, To when the next one was, zero if the logs
	// have none.
	From, To time.Time
	// Hosts is how many had it out of use, of the Sharing hosts of its data centre that use it.
	Hosts   int
	Sharing int
	// Views are what these hosts said when they found the server out of use, in order of time.
	Views []UnusedView
}

// UnusedView is why a host sent no requests to a server that was out of use.
type UnusedView struct {
	Host     string
	Why      string // policy.WhyUnused, or what the server had said of itself
	Belief   float64
	Troubled bool // many requests of the service were unserved
	Limited  bool // many were refused beyond their customers' limits
}

// Unused is the servers that were out of use.
type Unused struct {
	Spans []UnusedSpan // by From
	// Missed counts lines about the use of servers that hosts left out.
	Missed int
}

// Unused returns the spans of at least a length, all services' if service is empty. If at is not
// zero, only those that hold then.
func (l *Logs) Unused(service string, least time.Duration, at time.Time) Unused {
	var unused Unused
	for _, lines := range l.useLines(service, &unused.Missed) {
		for _, span := range spansOf(lines) {
			if span.isAtLeast(least) && (at.IsZero() || span.holdsAt(at)) {
				unused.Spans = append(unused.Spans, span)
			}
		}
	}
	slices.SortFunc(unused.Spans, func(a, b UnusedSpan) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return unused
}

type serverName struct{ service, server string }

// useLines returns the lines about the use of servers, by server and in order of time.
func (l *Logs) useLines(service string, missed *int) map[serverName][]line {
	found := make(map[serverName][]line)
	for _, e := range l.events {
		if e.message != logging.OutOfUse && e.message != logging.InUse {
			continue
		}
		*missed += e.missed()
		if service != "" && e.fields["service"] != service {
			continue
		}
		name := serverName{e.fields["service"], e.fields["backend"]}
		found[name] = append(found[name], e)
	}
	for _, lines := range found {
		slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	}
	return found
}

// spansOf returns the spans of one server. The first host that knows of a request ends a span.
func spansOf(lines []line) []UnusedSpan {
	var spans []UnusedSpan
	var open *UnusedSpan
	idleSince := make(map[string]time.Time) // by host that has the server out of use
	for _, l := range lines {
		if l.message == logging.InUse {
			delete(idleSince, l.host)
			if open != nil {
				open.To = l.since()
			}
			spans, open = open.appendTo(spans), nil
			continue
		}
		idleSince[l.host] = l.since()
		if open == nil {
			open = &UnusedSpan{Service: l.fields["service"], Server: l.fields["backend"]}
		}
		open.add(l, idleSince)
	}
	return open.appendTo(spans)
}

// since is when the last request was sent to the server that a line is about.
func (l line) since() time.Time {
	idle, _ := time.ParseDuration(l.fields["idle"]) // 0 where a line was cut short
	return l.at.Add(-idle)
}

// add takes one more host that has the server out of use.
func (s *UnusedSpan) add(l line, idleSince map[string]time.Time) {
	belief, _ := strconv.ParseFloat(l.fields["belief"], 64) // 0 where a line was cut short
	sharing, _ := strconv.Atoi(l.fields["hosts"])           // likewise
	s.Views = append(s.Views, UnusedView{
		Host:     l.host,
		Why:      l.fields["why"],
		Belief:   belief,
		Troubled: l.fields["troubled"] == "true",
		Limited:  l.fields["limited"] == "true",
	})
	s.Sharing = max(s.Sharing, sharing)
	s.Hosts = max(s.Hosts, len(idleSince))
	for _, since := range idleSince {
		if s.From.IsZero() || since.After(s.From) {
			s.From = since
		}
	}
}

// appendTo adds the span if most hosts had the server out of use: a host that was cut off from the
// others does not hear of their requests. s may be nil.
func (s *UnusedSpan) appendTo(spans []UnusedSpan) []UnusedSpan {
	if s == nil || 2*s.Hosts <= s.Sharing {
		return spans
	}
	return append(spans, *s)
}

func (s *UnusedSpan) isAtLeast(least time.Duration) bool {
	return s.To.IsZero() || s.To.Sub(s.From) >= least
}

func (s *UnusedSpan) holdsAt(at time.Time) bool {
	return !s.From.After(at) && (s.To.IsZero() || s.To.After(at))
}

// Length tells for how long the server was out of use.
func (s UnusedSpan) Length() string {
	if s.To.IsZero() {
		return "still"
	}
	return s.To.Sub(s.From).Round(time.Millisecond).String()
}

// Why tells why hosts sent no requests to the server, each reason with the number of hosts that
// gave it and the largest belief among them.
func (s UnusedSpan) Why() string {
	type reason struct {
		why    string
		hosts  int
		belief float64
	}
	var reasons []reason
	for _, v := range s.Views {
		i := slices.IndexFunc(reasons, func(r reason) bool { return r.why == v.why() })
		if i < 0 {
			reasons = append(reasons, reason{why: v.why()})
			i = len(reasons) - 1
		}
		reasons[i].hosts++
		reasons[i].belief = max(reasons[i].belief, v.Belief)
	}
	var parts []string
	for _, r := range reasons {
		parts = append(parts, fmt.Sprintf("%s (%d, belief %.2f)", r.why, r.hosts, r.belief))
	}
	return strings.Join(parts, "; ")
}

func (v UnusedView) why() string {
	why := v.Why
	if v.Troubled {
		why += ", many unserved"
	}
	if v.Limited {
		why += ", many beyond limits"
	}
	return why
}

// TimeOfDay returns the moment of a time of day on the day of the first line, zero for none.
func (l *Logs) TimeOfDay(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	clock, err := time.Parse(time.TimeOnly, text)
	if err != nil {
		return time.Time{}, errs.Wrap(err, errs.KindBadRequest, "time of day cannot be read", "write it as 15:04:05.000")
	}
	var day time.Time
	for _, lines := range [][]line{l.requests, l.events} {
		if len(lines) > 0 {
			day = lines[0].at
		}
	}
	return time.Date(day.Year(), day.Month(), day.Day(), clock.Hour(), clock.Minute(), clock.Second(), clock.Nanosecond(), day.Location()), nil
}

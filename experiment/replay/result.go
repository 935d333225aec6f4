package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is what a caller got.
type outcome int

const (
	served  outcome = iota
	refused         // not run, and told so
	failed          // may have run, or ran and failed
)

// lateWorth is what an answer after the objective is worth, against 1 for one in
// time: as the users' new customer counts it.
const lateWorth = 0.1

// RouteResult is what the callers of one route got.
type RouteResult struct {
	Route string
	// Asked are all requests; of these InTime and Late were served, Refused not run,
	// and Failed the rest.
	Asked, InTime, Late, Refused, Failed int
	// Withheld are those of the failed and refused that were not retried for lack of allowance.
	Withheld int
	// Copies are second copies sent, Sends all requests sent to servers.
	Copies int
	// HeldInVain is the time for which requests were kept that were then not served.
	HeldInVain time.Duration
	// times of the served, in microseconds
	times *hdrhistogram.Histogram
}

// Second is what became of the requests that came within one second.
type Second struct{ Asked, InTime, Late, Refused, Failed int }

// Result of a replay.
type Result struct {
	Routes  []*RouteResult
	Seconds []Second
	// Messages are the datagrams that hosts told each other.
	Messages int
	// AllowanceSpent is the largest part of a service's retry allowance that all hosts
	// together spent in any window.
	AllowanceSpent float64
	// Sound counts, over moments, the servers that have not failed by themselves for a
	// while, Unused those of them that have had no request for a window.
	Sound, Unused map[string]int // by service
	// Use is, by service, the same at the moments at which a tenth to a half of the requests
	// of the last window were not served.
	Use map[string]*InTrouble
	// AfterLeaving counts requests that reached a server over 2 s after it had told their
	// host that it leaves; InRest is the most that reached one from one host in a rest that
	// it had asked for, OverRest how many rests had more than two.
	AfterLeaving, InRest, OverRest int
	// Limits is how rate limits that servers named were kept.
	Limits LimitUse
	// Ended is what requests did that end the servers which run them.
	Ended EndedServers
	// Paths is what callers got while paths to servers were lost.
	Paths PathResult
	// Runs is how often each server was sent a request.
	Runs    map[string]int
	reasons map[string]int
}

const longestMicroseconds = 60_000_000

func newResult(p *Pattern) *Result {
	r := &Result{
		Seconds: make([]Second, int(time.Duration(p.Length)/time.Second)+1),
		Runs:    make(map[string]int),
		Sound:   make(map[string]int),
		Unused:  make(map[string]int),
		Use:     make(map[string]*InTrouble),
		reasons: make(map[string]int),
	}
	for _, route := range p.Routes {
		r.Routes = append(r.Routes, &RouteResult{Route: route.Name, times: hdrhistogram.New(1, longestMicroseconds, 3)})
	}
	return r
}

// note counts a request that has ended.
func (r *Result) note(q *request, o outcome) {
	took := q.host.fleet.clock.Now - q.asked
	second := &r.Seconds[int(q.asked/time.Second)]
	r.notePath(q, o)
	route := r.route(q.route.Name)
	route.Asked++
	r.use(q.route.Service).ended(q.host.fleet.clock.Now, o)
	route.Copies += q.copies
	second.Asked++
	switch {
	case o == served && took <= time.Duration(q.route.Objective):
		route.InTime++
		second.InTime++
	case o == served:
		route.Late++
		second.Late++
	case o == refused:
		route.Refused++
		second.Refused++
	default:
		route.Failed++
		second.Failed++
	}
	if o != served {
		route.HeldInVain += took
		return
	}
	_ = route.times.RecordValue(max(took.Microseconds(), 1)) // within range: a request has a timeout
}

func (r *Result) route(name string) *RouteResult {
	for _, route := range r.Routes {
		if route.Route == name {
			return route
		}
	}
	return nil
}

// add adds another run of the same pattern.
func (r *Result) add(other *Result) {
	for i, route := range other.Routes {
		r.Routes[i].add(route)
	}
	for i, s := range other.Seconds {
		r.Seconds[i].add(s)
	}
	r.Messages += other.Messages
	r.Limits.add(other.Limits)
	r.Paths.add(other.Paths)
	r.Ended.add(other.Ended)
	r.AfterLeaving += other.AfterLeaving
	r.OverRest += other.OverRest
	r.InRest = max(r.InRest, other.InRest)
	r.AllowanceSpent = max(r.AllowanceSpent, other.AllowanceSpent)
	for service, n := range other.Sound {
		r.Sound[service] += n
		r.Unused[service] += other.Unused[service]
	}
	for service, u := range other.Use {
		r.use(service).add(u)
	}
	for server, n := range other.Runs {
		r.Runs[server] += n
	}
	for reason, n := range other.reasons {
		r.reasons[reason] += n
	}
}

func (s *Second) add(other Second) {
	s.Asked += other.Asked
	s.InTime += other.InTime
	s.Late += other.Late
	s.Refused += other.Refused
	s.Failed += other.Failed
}

// The users' rule on servers in use: of those that have not failed by themselves for
// soundAfter, most must have had a request within useWindow. It is looked at every
// lookEvery.
const (
	soundAfter = 2 * time.Second
	useWindow  = 2 * time.Second
	lookEvery  = 500 * time.Millisecond
)

// look counts the servers in use at a moment.
func (r *Result) look(now time.Duration, servers map[string]*server) {
	sound, unused := make(map[string]int), make(map[string]int)
	for _, s := range servers {
		if now-s.lastFailed < soundAfter+useWindow || s.pathDisturbed {
			continue
		}
		sound[s.service.Name]++
		if now-s.lastTaken > useWindow {
			unused[s.service.Name]++
		}
	}
	for service, n := range sound {
		r.Sound[service] += n
		r.Unused[service] += unused[service]
		r.use(service).look(now, n, unused[service])
	}
}

// UnusedShare is the share of a service's sound servers that were out of use.
func (r *Result) UnusedShare(service string) float64 {
	return float64(r.Unused[service]) / float64(max(r.Sound[service], 1))
}

// Total adds all routes.
func (r *Result) Total() RouteResult {
	total := RouteResult{Route: "all", times: hdrhistogram.New(1, longestMicroseconds, 3)}
	for _, route := range r.Routes {
		total.add(route)
	}
	return total
}

func (r *RouteResult) add(other *RouteResult) {
	r.Asked += other.Asked
	r.InTime += other.InTime
	r.Late += other.Late
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Copies += other.Copies
	r.Withheld += other.Withheld
	r.HeldInVain += other.HeldInVain
	r.times.Merge(other.times)
}

// Goodput is the worth of all answers by that of all requests served in time.
func (r *RouteResult) Goodput() float64 {
	return (float64(r.InTime) + lateWorth*float64(r.Late)) / float64(max(r.Asked, 1))
}

// Unserved is the share of requests that got no answer of a server's.
func (r *RouteResult) Unserved() float64 {
	return float64(r.Refused+r.Failed) / float64(max(r.Asked, 1))
}

// LateShare is the share of requests served after their objective.
func (r *RouteResult) LateShare() float64 { return float64(r.Late) / float64(max(r.Asked, 1)) }

// Quantile is the time within which a share of the served were answered.
func (r *RouteResult) Quantile(share float64) time.Duration {
	return time.Duration(r.times.ValueAtQuantile(100*share)) * time.Microsecond
}

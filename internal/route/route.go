// Package route finds the service of a request: the route with the longest
// path prefix, a host-specific one before one for any host.
package route

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/region"
)

// Match is the result of a lookup.
type Match struct {
	// Service is the one that declares the route, or the part of its split that
	// was drawn for this request.
	Service    string
	Idempotent bool
	// Group is the route's host and path.
	Group string
	// Timeout, Attempts and Objective are the route's own, 0 if it has none.
	Timeout   time.Duration
	Attempts  int
	Objective time.Duration
	// Priority is the rank in overload, 0 the highest.
	Priority int
	// Public routes need no customer's key.
	Public bool
	// Homes are where requests may be run.
	Homes region.Homes
}

type rule struct {
	methods []string
	match   Match
	split   []config.Share
	total   int // sum of the weights of split
}

type prefix struct {
	host string
	path string
}

// Table is immutable after Build and safe for concurrent use.
type Table struct {
	rules      map[prefix][]rule
	objectives map[string]Objectives
}

// Objectives are the shortest and the longest latency objective of a service's routes.
type Objectives struct{ Shortest, Longest time.Duration }

// Build makes a table of all services' routes, and of shared routes, which
// name their services. Where two declare the same route, the first in the
// order given wins, services before shared routes.
func Build(services []*config.Service, shared []config.Route) *Table {
	t := &Table{rules: make(map[prefix][]rule), objectives: make(map[string]Objectives)}
	for _, svc := range services {
		for _, r := range svc.Routes {
			t.add(svc.Name, r)
		}
	}
	for _, r := range shared {
		t.add("", r)
	}
	return t
}

// add keeps a trailing slash: "/a/" leads to what is below /a only, "/a" also
// to /a itself.
func (t *Table) add(service string, r config.Route) {
	path := r.Path
	if path == "/" {
		path = ""
	}
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	t.addObjective(service, r)
	at := prefix{host: strings.ToLower(r.Host), path: path}
	t.rules[at] = append(t.rules[at], rule{
		methods: r.Methods,
		split:   r.Split,
		total:   total,
		match: Match{
			Service:    service,
			Idempotent: r.Idempotent,
			Group:      at.host + path,
			Timeout:    time.Duration(r.Timeout),
			Attempts:   r.Attempts,
			Objective:  time.Duration(r.Objective),
			Priority:   r.Priority,
			Public:     r.Public,
			Homes:      region.HomesOf(r.HomeRegions),
		},
	})
}

func (t *Table) addObjective(service string, r config.Route) {
	objective := time.Duration(r.Objective)
	if objective <= 0 {
		return
	}
	services := r.Split
	if len(services) == 0 {
		services = []config.Share{{Service: service, Weight: 1}}
	}
	for _, share := range services {
		name := share.Service
		if share.Weight <= 0 {
			continue
		}
		o := t.objectives[name]
		o.Longest = max(o.Longest, objective)
		if o.Shortest == 0 || objective < o.Shortest {
			o.Shortest = objective
		}
		t.objectives[name] = o
	}
}

// Objectives returns the extremes of the latency objectives of the routes that lead to a service,
// zero if none has an objective.
func (t *Table) Objectives(service string) Objectives { return t.objectives[service] }

// Of finds the route of a request. Its path must be clean.
func (t *Table) Of(r *http.Request) (Match, bool) {
	return t.Lookup(hostName(r), r.Method, r.URL.Path)
}

// hostName returns the Host header without its port. IPv6 literals are returned
// unchanged, including any port.
func hostName(r *http.Request) string {
	host, _, found := strings.Cut(r.Host, ":")
	if found && strings.HasPrefix(r.Host, "[") {
		return r.Host
	}
	return host
}

// Lookup finds the route of a host name, method and path. The path must be clean.
func (t *Table) Lookup(host, method, path string) (Match, bool) {
	host = strings.ToLower(host)
	for {
		if m, ok := t.at(host, method, path); ok {
			return m, true
		}
		if path == "" {
			return Match{}, false
		}
		path = parent(path)
	}
}

// parent returns the next shorter prefix: "/a/b", "/a/", "/a", "".
func parent(path string) string {
	if below, ok := strings.CutSuffix(path, "/"); ok {
		return below
	}
	return path[:strings.LastIndexByte(path, '/')+1]
}

func (t *Table) at(host, method, path string) (Match, bool) {
	if m, ok := find(t.rules[prefix{host, path}], method); ok {
		return m, true
	}
	return find(t.rules[prefix{"", path}], method)
}

func find(rules []rule, method string) (Match, bool) {
	for _, r := range rules {
		if len(r.methods) == 0 || slices.Contains(r.methods, method) {
			return r.draw(), true
		}
	}
	return Match{}, false
}

// draw picks a service of a split route by weight.
func (r *rule) draw() Match {
	match := r.match
	if r.total <= 0 {
		return match
	}
	left := rand.IntN(r.total)
	for _, share := range r.split {
		if left -= share.Weight; left < 0 {
			match.Service = share.Service
			break
		}
	}
	return match
}

// Len returns the number of distinct prefixes.
func (t *Table) Len() int { return len(t.rules) }

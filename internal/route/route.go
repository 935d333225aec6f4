// Package route finds the service of a request: the route with the longest
// path prefix, a host-specific one before one for any host.
package route

import (
	"slices"
	"strings"

	"github.com/pearshelf/pearshelf/internal/config"
)

// Match is the result of a lookup.
type Match struct {
	Service    string
	Idempotent bool
}

type rule struct {
	methods []string
	match   Match
}

type prefix struct {
	host string
	path string
}

// Table is immutable after Build and safe for concurrent use.
type Table struct {
	rules map[prefix][]rule
}

// Build makes a table of all services' routes. Where two services declare the
// same route, the first in the order given wins.
func Build(services []*config.Service) *Table {
	t := &Table{rules: make(map[prefix][]rule)}
	for _, svc := range services {
		for _, r := range svc.Routes {
			at := prefix{host: strings.ToLower(r.Host), path: strings.TrimSuffix(r.Path, "/")}
			t.rules[at] = append(t.rules[at], rule{
				methods: r.Methods,
				match:   Match{Service: svc.Name, Idempotent: r.Idempotent},
			})
		}
	}
	return t
}

// Lookup finds the route of a request. The path must be clean.
func (t *Table) Lookup(host, method, path string) (Match, bool) {
	host = strings.ToLower(host)
	path = strings.TrimSuffix(path, "/")
	for {
		if m, ok := t.at(host, method, path); ok {
			return m, true
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return Match{}, false
		}
		path = path[:cut]
	}
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
			return r.match, true
		}
	}
	return Match{}, false
}

// Len returns the number of distinct prefixes.
func (t *Table) Len() int { return len(t.rules) }

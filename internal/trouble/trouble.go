// Package trouble finds services of which many requests are not served, by the sum over all
// hosts. A host sees the requests of its segment; where a fleet has many segments that are too
// few to tell trouble from chance. One host of each segment tells a service's home, the same by
// every host's list (rendezvous), what the segment saw; the home tells all hosts where the sum is
// trouble.
//
// The package is pure: time is passed in, what is to be told is returned.
package trouble

import (
	"maps"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

const (
	// Lasts is for how long hosts hold a service for troubled after they are told. Segments
	// tell every 500 ms: one report may be lost.
	Lasts = 1500 * time.Millisecond
	// share is the part of unserved requests from which on a service is in trouble: below the
	// tenth that counts for callers, because hosts do not see all. Answers are lost on their way
	// to callers, and requests on theirs to hosts.
	share = 0.04
	// heardFor is how long a segment's report counts.
	heardFor = 900 * time.Millisecond
	// tellEvery is the least time between two words to all hosts about a service.
	tellEvery = 500 * time.Millisecond
)

// HomeOf is the host to which segments tell what they see of a service, empty if there are no
// hosts.
func HomeOf(service string, homes []rendezvous.Node) string {
	if top := rendezvous.Top("trouble/"+service, homes, 1); len(top) > 0 {
		return top[0]
	}
	return ""
}

// Home is what a host knows of the services whose home it is. It is not safe for concurrent use.
type Home struct {
	services map[string]*service
}

type service struct {
	reports map[string]report // by the host that speaks for a segment
	toldAt  time.Time
}

type report struct {
	served, unserved int
	hosts            int
	at               time.Time
}

// NewHome returns a home that has heard nothing.
func NewHome() *Home { return &Home{services: make(map[string]*service)} }

// Take takes what a segment has seen, and returns the services that are in trouble, for all
// hosts to be told. hosts is how many hosts there are.
func (h *Home) Take(now time.Time, from string, outcomes []*peerpb.ServiceOutcomes, hosts int) []string {
	h.forget(now)
	var troubled []string
	for _, o := range outcomes {
		s, known := h.services[o.Service]
		if !known {
			s = &service{reports: make(map[string]report)}
			h.services[o.Service] = s
		}
		s.reports[from] = report{int(o.Served), int(o.Unserved), int(o.Hosts), now}
		if now.Sub(s.toldAt) >= tellEvery && s.isTrouble(hosts) {
			s.toldAt = now
			troubled = append(troubled, o.Service)
		}
	}
	return troubled
}

// isTrouble sums the reports. Segments that tell nothing served as much for each host as the
// others, and all of it.
func (s *service) isTrouble(hosts int) bool {
	served, unserved, heard := 0, 0, 0
	for _, r := range s.reports {
		served += r.served
		unserved += r.unserved
		heard += r.hosts
	}
	silent := max(hosts-heard, 0)
	served += served * silent / max(heard, 1)
	return policy.IsTrouble(served, unserved, share)
}

// forget drops reports that are old, and services of which nothing is told any more.
func (h *Home) forget(now time.Time) {
	for name, s := range h.services {
		maps.DeleteFunc(s.reports, func(_ string, r report) bool { return now.Sub(r.at) > heardFor })
		if len(s.reports) == 0 && now.Sub(s.toldAt) > Lasts {
			delete(h.services, name)
		}
	}
}

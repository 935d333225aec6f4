package policy

import (
	"cmp"
	"slices"
	"time"
)

// A service is in trouble while many of its requests are not served: then what is known of its
// servers helps little, and all must be in use (breadth.go). A host sees what it and the hosts of
// its segment do. Where a fleet has many segments each sees few requests, and trouble of the whole
// shows in some of them only; so segments tell what they see to one host, which tells all where
// the sum is trouble (package trouble).
const (
	// troubleWindow is the time over which outcomes are counted, troubleShare the part
	// of unserved requests of a segment from which on its service is in trouble: half of
	// a tenth over all data centres, of which this one may have less. troubleChance more
	// may fail by chance.
	troubleWindow = 2 * time.Second
	troubleShare  = 0.05
	troubleChance = 3
	// troubleLeast is how many outcomes must be known.
	troubleLeast = 20
	// tellShare is the part of unserved requests of a segment from which on it tells.
	tellShare = 0.02
)

// IsTrouble reports whether so many requests that were not served are more than a share of all,
// and than chance makes of it.
func IsTrouble(served, unserved int, share float64) bool {
	total := served + unserved
	return total >= troubleLeast && float64(unserved) > share*float64(total)+troubleChance
}

// Outcomes is what became of a service's requests at the hosts of a segment, in the newest half
// of the window over which trouble is looked for. Requests that were sent to see how a server is
// and were not served are left out: in trouble there are many, and it would never end.
type Outcomes struct {
	Service          string
	Served, Unserved int
}

// Outcomes returns what this host's segment has to tell: of services of which a part was not
// served.
func (t *Table) Outcomes(now time.Time) []Outcomes {
	var all []Outcomes
	for name, svc := range t.services {
		served := svc.served.newest(now, troubleWindow, windowBuckets/2)
		unserved := svc.lost.newest(now, troubleWindow, windowBuckets/2)
		if float64(unserved) > tellShare*float64(served+unserved) {
			all = append(all, Outcomes{name, served, unserved})
		}
	}
	slices.SortFunc(all, func(a, b Outcomes) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// NoteTrouble takes that a service is in trouble by the sum over all hosts, until a time.
func (t *Table) NoteTrouble(name string, until time.Time) {
	if !t.has(MechanismFleetTrouble) {
		return
	}
	svc := t.service(name)
	if until.After(svc.troubledUntil) {
		svc.troubledUntil = until
	}
}

// troubled reports whether many requests are unserved: by the sum over all hosts, or at those of
// this segment over the whole window or, where there are many requests, already over a half.
func (svc *service) troubled(now time.Time) bool {
	return now.Before(svc.troubledUntil) || svc.manyUnserved(now, windowBuckets+1) || svc.manyUnserved(now, windowBuckets/2)
}

// manyUnserved looks at the newest buckets of the window.
func (svc *service) manyUnserved(now time.Time, buckets int) bool {
	return IsTrouble(svc.served.newest(now, troubleWindow, buckets), svc.unserved.newest(now, troubleWindow, buckets), troubleShare)
}

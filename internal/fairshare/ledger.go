package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// window is the averaging time of what customers request and receive. Surges last some
	// seconds; with a shorter window a host counts less than one request of most customers.
	window = 5 * time.Second
	// divideInterval is the least time between two divisions. A division costs O(n log n).
	divideInterval = 200 * time.Millisecond
	// maxCustomers bounds the customers that a ledger holds, of about 200 bytes each. Further
	// ones have no rank.
	maxCustomers = 1024
	// maxPeers bounds the hosts whose counts are held, as many as share a segment and some more.
	maxPeers = 64
	// ReportedCustomers is how many customers a host reports at a time.
	ReportedCustomers = 16
)

// Count is what one host has counted of a customer. Counts only increase in one life of a host, so
// that a lost report is made up for by the next.
type Count struct {
	Customer          string
	Weight            float64
	Requested, Served uint64
}

// Ledger holds what customers requested and received of one service, by this host and by those
// that report to it. It is not safe for concurrent use.
type Ledger struct {
	customers map[string]*entry
	peers     map[string]map[string]Count
	dividedAt time.Time
}

type entry struct {
	own      Count
	reported uint64 // own.Requested in the last report
	weight   float64
	// requested and served are weighted sums over the window, as of at.
	requested, served float64
	at                time.Time
	fair              float64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{customers: make(map[string]*entry), peers: make(map[string]map[string]Count)}
}

// Request counts a request of a customer at this host.
func (l *Ledger) Request(now time.Time, customer string, weight float64) {
	if e := l.entry(now, customer, weight); e != nil {
		e.own.Requested++
		e.requested++
	}
}

// Serve counts a request of a customer that this host had served.
func (l *Ledger) Serve(now time.Time, customer string) {
	if e, known := l.customers[customer]; known {
		e.decay(now)
		e.own.Served++
		e.served++
	}
}

// Report applies another host's counts. A first report only sets the base of the next.
func (l *Ledger) Report(now time.Time, host string, counts []Count) {
	peer, known := l.peers[host]
	if !known {
		if len(l.peers) >= maxPeers {
			return
		}
		peer = make(map[string]Count)
		l.peers[host] = peer
	}
	for _, c := range counts {
		e := l.entry(now, c.Customer, c.Weight)
		if e == nil {
			continue
		}
		before, had := peer[c.Customer]
		if had && c.Requested >= before.Requested && c.Served >= before.Served {
			e.requested += float64(c.Requested - before.Requested)
			e.served += float64(c.Served - before.Served)
		}
		if !had || c.Requested >= before.Requested {
			peer[c.Customer] = c
		}
	}
}

// ForgetHost discards the counts of a host that has left or restarted. What it reported remains
// in the sums until it decays.
func (l *Ledger) ForgetHost(host string) { delete(l.peers, host) }

// Counts returns the counts of the customers with most requests since the last call.
func (l *Ledger) Counts() []Count {
	var changed []*entry
	for _, e := range l.customers {
		if e.own.Requested > e.reported {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.own.Requested-b.reported, a.own.Requested-a.reported), cmp.Compare(a.own.Customer, b.own.Customer))
	})
	counts := make([]Count, 0, min(len(changed), ReportedCustomers))
	for _, e := range changed[:min(len(changed), ReportedCustomers)] {
		e.reported = e.own.Requested
		counts = append(counts, e.own)
	}
	return counts
}

// Rank returns what a customer received over its fair share of what all received: below 1 it is
// owed more, above 1 it has more than its part. A customer without requests has rank 0. Lower
// ranks go first.
func (l *Ledger) Rank(now time.Time, customer string) float64 {
	e, known := l.customers[customer]
	if !known {
		return 0
	}
	l.divide(now)
	e.decay(now)
	if e.served < 1 || e.fair <= 0 {
		return 0 // a single answer says nothing
	}
	return e.served / e.fair
}

// divide calculates all fair shares of what customers received.
func (l *Ledger) divide(now time.Time) {
	if !l.dividedAt.IsZero() && now.Sub(l.dividedAt) < divideInterval {
		return
	}
	l.dividedAt = now
	names := make([]string, 0, len(l.customers))
	for name, e := range l.customers {
		if now.Sub(e.at) > 20*window {
			delete(l.customers, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	served := 0.0
	demands := make([]Demand, len(names))
	for i, name := range names {
		e := l.customers[name]
		e.decay(now)
		served += e.served
		demands[i] = Demand{Weight: e.weight, Amount: math.Max(e.requested, e.served)}
	}
	for i, part := range Divide(served, demands) {
		l.customers[names[i]].fair = part
	}
}

func (l *Ledger) entry(now time.Time, customer string, weight float64) *entry {
	e, known := l.customers[customer]
	if !known {
		if len(l.customers) >= maxCustomers {
			return nil
		}
		e = &entry{own: Count{Customer: customer}, at: now}
		l.customers[customer] = e
	}
	e.decay(now)
	e.weight, e.own.Weight = weight, weight
	return e
}

func (e *entry) decay(now time.Time) {
	if elapsed := now.Sub(e.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / window.Seconds())
		e.requested *= factor
		e.served *= factor
		e.at = now
	}
}

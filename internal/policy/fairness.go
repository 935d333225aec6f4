package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/fairshare"
)

// A few customers that send many times their usual rate within their limits fill a service's
// queues, and requests are then refused in proportion to who sends most. While a service refuses
// requests, the customers that received more than their max-min fair share of it are therefore
// refused first, and those below it last. The hosts of a segment tell each other what their
// customers requested and received, because one host gets less than a request a second of most
// customers. Nothing of this takes effect for requests without a customer.

const (
	// aboveShare and belowShare are the ranks beyond which a customer counts as above or below
	// its fair share. Between them the difference is within what a window of 5 s can show.
	aboveShare = 1.15
	belowShare = 0.85
	// aboveShareFactor and belowShareFactor scale the thresholds at which requests of such
	// customers are refused. The product of aboveShareFactor and lowPriorityFactor stays above
	// 0, so that no customer is refused without a queue.
	aboveShareFactor = 0.6
	belowShareFactor = 1.25
	// fairRequestsPerSlot is the number of requests per slot of the best server above which a
	// service that refuses requests takes no more from customers above their share. One that waits
	// for each slot keeps the slots in use, and some more cover the differences between the views
	// of hosts; the rest of the queue is for the other customers. In the replay `customers`, 2
	// loses 0.9 in 100 requests of all, 2.6 serves the others only half as well.
	fairRequestsPerSlot = 2.3
	// refusalWindow is how long after a refusal a service counts as refusing requests.
	refusalWindow = 3 * time.Second
	// customersInterval is the interval of reports on customers. A report holds those with
	// requests since the last one, about 30 bytes each.
	customersInterval = time.Second
)

// recordCustomer counts the first attempt of a customer's request.
func (t *Table) recordCustomer(now time.Time, svc *service, req Request) {
	if req.Customer == "" || !req.FirstAttempt || req.Waited || !t.has(MechanismFairShares) {
		return
	}
	if svc.shares == nil {
		svc.shares = fairshare.NewLedger()
	}
	svc.shares.Request(now, req.Customer, req.Weight)
}

// isRefusing reports whether this host or a server has recently refused requests for the service.
func (svc *service) isRefusing(now time.Time) bool {
	return !svc.refusedAt.IsZero() && now.Sub(svc.refusedAt) <= refusalWindow
}

// FairnessRank returns what the request's customer received of its service over its fair share.
// Requests of lower rank go first. It is 1 for a request without a customer.
func (t *Table) FairnessRank(now time.Time, req Request) float64 {
	svc := t.service(req.Service)
	if req.Customer == "" || svc.shares == nil {
		return 1
	}
	return svc.shares.Rank(now, req.Customer)
}

// QueueRank returns the order of a request among those of its priority that wait in the host: 1 for a
// customer above its fair share, 0 for all others, which are ordered by deadline.
func (t *Table) QueueRank(now time.Time, req Request) float64 {
	if !t.has(MechanismFairShares) || t.FairnessRank(now, req) <= aboveShare {
		return 0
	}
	return 1
}

// fairnessFactor returns the factor of the thresholds at which a request is refused: below 1 it is
// refused earlier than others.
func (t *Table) fairnessFactor(now time.Time, svc *service, req Request) float64 {
	if req.Customer == "" || svc.shares == nil || !svc.isRefusing(now) {
		return 1
	}
	switch rank := svc.shares.Rank(now, req.Customer); {
	case rank > aboveShare:
		return aboveShareFactor
	case rank < belowShare:
		return belowShareFactor
	default:
		return 1
	}
}

// exceedsFairShare reports whether a request is refused because its customer is above its fair share
// and the queues of all servers are long enough to use their slots.
func (t *Table) exceedsFairShare(now time.Time, svc *service, best choice, req Request) bool {
	return t.fairnessFactor(now, svc, req) < 1 && best.state.load(now) >= fairRequestsPerSlot*float64(best.server.Slots)
}

// customersToReport returns the counts for the hosts of this segment, none while the service
// refuses no requests.
func (svc *service) customersToReport(now time.Time) []*peerpb.CustomerCount {
	if svc.shares == nil || !svc.isRefusing(now) || now.Sub(svc.customersReportedAt) < customersInterval {
		return nil
	}
	svc.customersReportedAt = now
	counts := svc.shares.Counts()
	rows := make([]*peerpb.CustomerCount, 0, len(counts))
	for _, c := range counts {
		rows = append(rows, &peerpb.CustomerCount{Customer: c.Customer, Weight: c.Weight, Requested: c.Requested, Served: c.Served})
	}
	return rows
}

// recordPeerCustomers applies another host's counts.
func (svc *service) recordPeerCustomers(now time.Time, host string, rows []*peerpb.CustomerCount) {
	if len(rows) == 0 {
		return
	}
	if svc.shares == nil {
		svc.shares = fairshare.NewLedger()
	}
	counts := make([]fairshare.Count, 0, min(len(rows), fairshare.ReportedCustomers))
	for _, r := range rows[:min(len(rows), fairshare.ReportedCustomers)] {
		counts = append(counts, fairshare.Count{Customer: r.Customer, Weight: r.Weight, Requested: r.Requested, Served: r.Served})
	}
	svc.shares.Report(now, host, counts)
}

package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// The share of a service's requests that are not served counts over all data centres, and one of
// them alone may serve its own requests well while the service as a whole does not. Hosts therefore
// send the outcomes of their segment within outcomeWindow with the failures that they report to
// other data centres. The counts are those of a window and not totals since the start: each report
// stands for itself, so that any host of the segment may send it, and a lost one or a restarted host
// leaves nothing to correct.
const (
	// nearLimitShare is the share of unserved requests, over all data centres that this host hears
	// of, from which on the service is treated as degraded. Coverage becomes required at a tenth;
	// outcomes elsewhere are known only with the next failure there.
	nearLimitShare = 0.07
	// maxRemoteSegments limits the segments whose outcomes are kept for a service.
	maxRemoteSegments = 128
)

// remoteOutcomes are the outcomes of a segment of another data centre within outcomeWindow.
type remoteOutcomes struct {
	served, unserved int
	at               time.Time
}

// addRecentOutcomes adds the outcomes of this host's segment to a report for other data centres.
func (svc *service) addRecentOutcomes(now time.Time, row *peerpb.BackendLoad) {
	row.RecentServed = uint32(svc.served.sum(now, outcomeWindow))
	row.RecentUnserved = uint32(svc.unserved.sum(now, outcomeWindow))
}

// recordRemoteOutcomes keeps the outcomes that a host of another data centre reports.
func (svc *service) recordRemoteOutcomes(now time.Time, row *peerpb.BackendLoad) {
	if row.RecentServed+row.RecentUnserved == 0 {
		return
	}
	for segment, o := range svc.remote {
		if now.Sub(o.at) > outcomeWindow {
			delete(svc.remote, segment)
		}
	}
	if _, known := svc.remote[row.Segment]; !known && len(svc.remote) >= maxRemoteSegments {
		return
	}
	svc.remote[row.Segment] = remoteOutcomes{int(row.RecentServed), int(row.RecentUnserved), now}
}

// isNearLimit reports whether nearly a tenth of the service's requests are unserved over all data
// centres that this host hears of.
func (svc *service) isNearLimit(now time.Time) bool {
	if len(svc.remote) == 0 {
		return false
	}
	served, unserved := svc.served.sum(now, outcomeWindow), svc.unserved.sum(now, outcomeWindow)
	for _, o := range svc.remote {
		if now.Sub(o.at) <= outcomeWindow {
			served += o.served
			unserved += o.unserved
		}
	}
	total := served + unserved
	return total >= degradedMinOutcomes && float64(unserved) > nearLimitShare*float64(total)
}

package policy

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// sendCounts counts what one host sent to a service's servers in the last window of RetryRule.
type sendCounts struct{ requests, retries window }

// peerTotals is the latest report of a host about a service as a whole.
type peerTotals struct {
	counts     counts
	sends      sendCounts
	receivedAt time.Time
	// wanted is the number of retries that the host lacks, giftNumber that of its last gift.
	wanted     int
	giftNumber uint64
}

// recordPeerTotals applies what a host did since its last report. Each datagram carries the totals,
// so that the next one compensates for a lost one.
func (t *Table) recordPeerTotals(now time.Time, host string, l *peerpb.BackendLoad) {
	svc, current := t.service(l.Service), countsFrom(l)
	h, known := svc.sharingHosts[host]
	if !known {
		h = &peerTotals{}
		svc.sharingHosts[host] = h
	}
	previous := h.counts
	if current.isOlderThan(previous) || l.GiftNumber < h.giftNumber {
		return // a datagram that arrived out of order
	}
	h.counts = current
	h.receivedAt = now
	h.wanted = int(l.WantedRetries)
	if l.GiftNumber > h.giftNumber && l.GiftTo == t.conf.Host {
		svc.budget.received += int(l.GiftRetries)
		svc.budget.receivedUntil = now.Add(giftTTL)
	}
	h.giftNumber = l.GiftNumber
	if !known && current.requests+current.retries > maxOutcomesPerReport {
		return // the totals predate the first report to this host
	}
	if current.staleConnections > previous.staleConnections {
		svc.staleConnectionAt = now
	}
	h.sends.requests.add(now, t.conf.Retry.Window, int(current.requests-previous.requests))
	h.sends.retries.add(now, t.conf.Retry.Window, int(current.retries-previous.retries))
	svc.served.add(now, outcomeWindow, int(current.good-previous.good))
	svc.late.add(now, outcomeWindow, int(current.late-previous.late))
	svc.unserved.add(now, outcomeWindow, int(current.unserved()-previous.unserved()))
	svc.limited.add(now, outcomeWindow, int(current.limited-previous.limited))
}

// reportTotals returns the report about a service as a whole, with a gift of retries to a host that
// lacks them if this host has more than it keeps.
func (t *Table) reportTotals(now time.Time, name string, svc *service) *peerpb.BackendLoad {
	row := svc.totals.message(key{service: name})
	if to, retries := t.chooseGift(now, svc); retries > 0 {
		svc.sharingHosts[to].wanted -= retries
		svc.charged.add(now, t.conf.Retry.Window, retries)
		svc.budget.gifts++
		row.GiftTo, row.GiftRetries = to, uint32(retries)
	}
	row.GiftNumber = svc.budget.gifts
	row.WantedRetries = uint32(t.updateBudget(now, svc).wanted(now))
	return row
}

// chooseGift returns a host that lacks retries and how many to give it, 0 for none. The host is drawn
// with the retries that it lacks as weight, so that not all hosts give to the same one.
func (t *Table) chooseGift(now time.Time, svc *service) (to string, retries int) {
	if !t.hasGift(now, svc) {
		return "", 0
	}
	total := 0
	for _, host := range svc.hostsWantingRetries(now) {
		wanted := svc.sharingHosts[host].wanted
		total += wanted
		if t.conf.Random.IntN(total) < wanted {
			to, retries = host, min(svc.budget.surplus(), wanted)
		}
	}
	return to, retries
}

// hasGift reports whether a host lacks retries that this one can give it.
func (t *Table) hasGift(now time.Time, svc *service) bool {
	return t.has(MechanismRetryGifts) && t.updateBudget(now, svc).surplus() > 0 && len(svc.hostsWantingRetries(now)) > 0
}

// hostsWantingRetries returns the hosts that lack retries, in a stable order.
func (svc *service) hostsWantingRetries(now time.Time) []string {
	var hosts []string
	for host, h := range svc.sharingHosts {
		if h.wanted > 0 && now.Sub(h.receivedAt) <= wantTTL {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// expireSharingHosts drops hosts that have not reported for long: they may have left, or share the
// state of other hosts now.
func (svc *service) expireSharingHosts(now time.Time) {
	for host, h := range svc.sharingHosts {
		if now.Sub(h.receivedAt) > stateTTL {
			delete(svc.sharingHosts, host)
		}
	}
}

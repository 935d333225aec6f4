package policy

import (
	"cmp"
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
	// lacksRetries is set if the host has no retries left, wantsRetry if it asks this one for a retry.
	lacksRetries, wantsRetry bool
	// wanted is how much of a retry the host lacks, in thousandths.
	wanted int
	// giftNumber is the number of the host's last gift.
	giftNumber uint64
	// askedAt is when the host was last asked for a retry.
	askedAt time.Time
}

// recordPeerTotals applies what a host did since its last report. Each datagram carries the totals,
// so that the next one compensates for a lost one. replyDue is set if the host is to be given a retry.
func (t *Table) recordPeerTotals(now time.Time, host string, l *peerpb.BackendLoad) (replyDue bool) {
	svc, current := t.service(l.Service), countsFrom(l)
	h, known := svc.sharingHosts[host]
	if !known {
		h = &peerTotals{}
		svc.sharingHosts[host] = h
	}
	previous := h.counts
	if current.isOlderThan(previous) || l.GiftNumber < h.giftNumber {
		return false // a datagram that arrived out of order
	}
	h.counts = current
	h.receivedAt = now
	if current.shed > previous.shed {
		svc.refusedAt = now
	}
	svc.recordPeerCustomers(now, host, l.Customers)
	h.lacksRetries, h.wantsRetry = l.WantedFrom != "", l.WantedFrom == t.conf.Host && l.WantedFrom != ""
	h.wanted = int(cmp.Or(l.WantedThousandths, wholeRetry))
	if l.GiftNumber > h.giftNumber && l.GiftTo == t.conf.Host {
		t.receiveGift(now, svc, h, l)
	}
	replyDue = h.wantsRetry && t.nextGift(now, svc) != ""
	svc.dirty = svc.dirty || replyDue
	h.giftNumber = l.GiftNumber
	if !known && current.requests+current.retries > maxOutcomesPerReport {
		return replyDue // the totals predate the first report to this host
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
	return replyDue
}

// receiveGift takes a retry, or a part of one, from another host. Its time counts from when the host
// was asked, which is before it was charged: a message that was under way for long does not extend it.
func (t *Table) receiveGift(now time.Time, svc *service, from *peerTotals, l *peerpb.BackendLoad) {
	until, b := from.askedAt.Add(giftTTL), &svc.budget
	if now.After(until) {
		return
	}
	if now.After(b.receivedUntil) {
		b.received = 0
	}
	if b.received > 0 && b.receivedUntil.Before(until) {
		until = b.receivedUntil
	}
	b.receivedUntil = until
	b.received += int(cmp.Or(l.GiftThousandths, wholeRetry))
	t.giftsReceived++
	svc.askedAt = time.Time{}
	svc.asksInVain, svc.noWaitUntil = 0, time.Time{}
}

// reportTotals returns the report about a service as a whole, with a retry for a host that asked for
// it, or a request for one if this host lacks them.
func (t *Table) reportTotals(now time.Time, name string, svc *service) *peerpb.BackendLoad {
	row := svc.totals.message(key{service: name})
	if to := t.nextGift(now, svc); to != "" {
		h := svc.sharingHosts[to]
		h.wantsRetry = false
		svc.given.add(now, t.conf.Retry.Window+giftTTL, h.wanted)
		svc.budget.gifts++
		row.GiftTo = to
		if h.wanted < wholeRetry {
			row.GiftThousandths = uint32(h.wanted)
		}
	}
	row.GiftNumber = svc.budget.gifts
	row.Customers = svc.customersToReport(now)
	if b := t.updateBudget(now, svc); b.wantsRetry(now) {
		row.WantedFrom = t.askedHost(now, svc)
		if lack := b.lack(t.has(MechanismPooledRetries)); row.WantedFrom != "" && lack < wholeRetry {
			row.WantedThousandths = uint32(lack)
		}
	}
	return row
}

// nextGift returns a host that has asked this one for a retry, empty for none or if this host has none
// to give.
func (t *Table) nextGift(now time.Time, svc *service) string {
	if !t.has(MechanismRetryGifts) {
		return ""
	}
	b, pooled := t.updateBudget(now, svc), t.has(MechanismPooledRetries) && now.Sub(t.started) < t.conf.Retry.Window
	for _, host := range sortedKeys(svc.sharingHosts) {
		if h := svc.sharingHosts[host]; h.wantsRetry && now.Sub(h.receivedAt) <= giftTTL && b.canGive(now, h.wanted, pooled) {
			return host
		}
	}
	return ""
}

// askedHost returns the host to ask for a retry: the same one for askPeriod, then another one that
// does not lack retries itself. Asking all at once would take a retry from each of them.
func (t *Table) askedHost(now time.Time, svc *service) string {
	if now.Sub(svc.askedAt) < askPeriod {
		return svc.asked
	}
	svc.askedAt, svc.asked = now, ""
	if svc.asksInVain++; svc.asksInVain > maxAsksInVain {
		svc.asksInVain, svc.noWaitUntil = 0, now.Add(askPause)
	}
	if candidates := t.giftCandidates(now, svc); len(candidates) > 0 {
		svc.asked = candidates[t.conf.Random.IntN(len(candidates))]
		svc.sharingHosts[svc.asked].askedAt = now
	}
	return svc.asked
}

// giftCandidates returns the hosts that may have a retry to give.
func (t *Table) giftCandidates(now time.Time, svc *service) []string {
	return slices.DeleteFunc(sortedKeys(svc.sharingHosts), func(host string) bool {
		h := svc.sharingHosts[host]
		return h.lacksRetries || now.Sub(h.receivedAt) > peerTotalsTTL
	})
}

// sortedKeys returns the keys of a map in a stable order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
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

package policy

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
)

// While nearly a tenth of a service's requests are unserved, no sound server may be out of use for
// 2 s. Coverage counts servers and leaves one in five out of use, and a host that has few requests
// cannot tell whether another one will use a server in time. So the hosts that use a server take
// turns: the first in the order of rendezvous hashing sends its next request there, whatever it
// believes, and each of the others a little later, if none of those before it has. A host that is
// down, is cut off or has no request is thus replaced without a message.
const (
	// dutyIdempotent and dutyOthers are the time without a request after which the first host in
	// order is responsible, for requests that may be repeated and for those that may not. Servers
	// must not be out of use for 2 s.
	dutyIdempotent = 1000 * time.Millisecond
	dutyOthers     = 1600 * time.Millisecond
	// dutyStep is the time between one host's turn and that of the next. Hosts report sends within
	// 3 ms.
	dutyStep = 50 * time.Millisecond
	// maxDutyDelay bounds the wait of hosts far back in the order, so that all of them take part
	// before the 2 s are over.
	maxDutyDelay = 300 * time.Millisecond
	// dutyRequestShare is the share of a service's requests needed for one request to each server
	// above which no server is kept in use in this way. With fewer requests nearly each of them would
	// go to the server of which least is known.
	dutyRequestShare = 0.5
	// dutyCooldown is how long after a failure a server need not be in use: a failed server counts
	// as sound after 2 s without a failure and must then be used within 2 s.
	dutyCooldown = 2 * time.Second
	// dutyPeerTTL is how long after its last report a host counts as live, and after a failed
	// connection as cut off from a server.
	dutyPeerTTL = peerTotalsTTL
)

// hasDuty reports whether each server of a service must be kept in use.
func (t *Table) hasDuty(now time.Time, svc *service, view *world.ServiceView, dataCentre string) bool {
	return t.has(MechanismDuty) && svc.isNearLimit(now) &&
		svc.requestShareFor(now, float64(countLocalServers(view, dataCentre))) <= dutyRequestShare
}

// isDutyDue reports whether it is this host's turn to send a request to a server that has been without
// one. The request is sent to the server alone, or as a trial beside another send.
func (t *Table) isDutyDue(now time.Time, k key, s *server, req Request, isTrial bool) bool {
	since := s.lastSent
	if sound := s.failedAt.Add(dutyCooldown); sound.After(since) {
		since = sound
	}
	idle := now.Sub(since)
	after := dutyOthers
	if isTrial || s.belief(now, t.service(k.service)) < failingThreshold || req.Idempotent && !t.mayHaveTrials(req) {
		after = dutyIdempotent
	}
	if idle <= after || now.Before(s.pathUntil) {
		return false
	}
	return idle > after+maxDutyDelay || idle > after+min(time.Duration(t.dutyRank(now, k, s))*dutyStep, maxDutyDelay)
}

// dutyRank is this host's place among the live hosts that use a server and reach it.
func (t *Table) dutyRank(now time.Time, k key, s *server) int {
	hosts := []rendezvous.Node{rendezvous.NewNode(t.conf.Host, "")}
	for host, peer := range s.peers {
		if now.Sub(t.heardAt[host]) <= dutyPeerTTL && now.Sub(peer.unreachableAt) > dutyPeerTTL {
			hosts = append(hosts, rendezvous.NewNode(host, ""))
		}
	}
	return slices.Index(rendezvous.Top(k.detectorKey(), hosts, len(hosts)), t.conf.Host)
}

package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// A host that cannot reach the backend servers relays its callers' requests through another host
// that can. That host treats a relayed request like one of its own callers', but relays it no
// further, and declines it before it is sent if its own path is lost too.

// Headers of relayed requests, in addition to those of requests forwarded to owner hosts. They
// carry what the entry host knows from the route and from earlier sends, so that attempts, keys and
// customers' limits are counted once.
const (
	HeaderAttempts  = "Pearshelf-Attempts"     // how many servers may still run the request
	HeaderArrived   = "Pearshelf-Arrived"      // how many servers it may have reached
	HeaderObjective = "Pearshelf-Objective-Ms" // latency objective of the route, 0 for none
	HeaderPriority  = "Pearshelf-Priority"     // priority under overload
	HeaderGroup     = "Pearshelf-Group"        // Request.Group
	HeaderClaimed   = "Pearshelf-Claimed"      // set if the entry host holds the idempotency key
	HeaderCounted   = "Pearshelf-Counted"      // set if the entry host has counted the request for the retry allowance
)

const (
	// maxRelays bounds the hosts that one request is offered to.
	maxRelays = 3
	// maxUnreachable is how many servers a request finds unreachable before it is offered to
	// another host. A single one may be down.
	maxUnreachable = 2
	// relayHoldOff is how long a host that declined or could not be reached is not offered
	// requests.
	relayHoldOff = time.Second
	// relayMaxIdle is how long a connection to another host may have been idle to carry a relayed
	// request. A connection that went silent shows only once a request on it is lost.
	relayMaxIdle = 2 * time.Second
)

// shouldRelay reports whether to relay the request instead of sending it to a server: this host has
// lost its path to all servers, or the request has found several unreachable.
func (x *exchange) shouldRelay() bool {
	if x.relayed || x.req.ForwardedBy != "" || x.quarantineTrial {
		return false
	}
	return x.pathLost() || x.unreachable >= maxUnreachable
}

// pathLost reports whether this host has lost its path to the servers, as far as it knows.
func (x *exchange) pathLost() bool {
	if x.d.balance == nil {
		return x.snap.NetworkSuspect
	}
	return x.d.balance.PathLost()
}

// relay offers the request to other hosts. done is false if none accepted it and it may still be
// sent to a server from here.
func (x *exchange) relay(ctx context.Context) (done bool, err error) {
	x.relayed = true
	for _, host := range x.d.relays.choose(time.Now(), x.snap, x.mayRelayTo, maxRelays) {
		if x.isExpired(ctx) || x.attemptsRun >= x.req.maxAttempts() {
			return false, nil
		}
		done, err = x.relayThrough(ctx, host)
		if done {
			return true, err
		}
		x.d.relays.avoid(time.Now(), host.Host)
		if x.written && !x.mayRetry(ctx) {
			return true, refuseUnknown(errs.New(errs.KindAnswerBroken, "host "+host.Host+" had the request and did not answer it", "repeat the request"))
		}
	}
	return false, nil
}

// relayThrough offers the request to one host.
func (x *exchange) relayThrough(ctx context.Context, host world.RelayHost) (done bool, err error) {
	release := x.d.relays.acquire(host.Host)
	defer release()
	attempt := x.beginRelay(host.Host)
	response, failure := x.send(ctx, x.toRelay(host))
	if failure != nil {
		attempt.finish(string(toTypedError(failure.Unwrap()).Kind))
		attempt.recordFailure(failure)
		x.d.metrics.Relayed("failed")
		x.countRelay(failure.Written)
		return x.handleHostFailure(ctx, failure)
	}
	attempt.recordResponse(response, x.d.proto.RequestID, x.req.ID)
	if Outcome(response.Header.Get(HeaderOutcome)) == OutcomeNotRun && x.isForThisRequest(response, nil) {
		attempt.evidence = evidenceHost
	}
	if x.hostDeclined(response) {
		attempt.finish("declined")
		x.d.metrics.Relayed("declined")
		x.recordDecline(response)
		return false, nil
	}
	x.status = response.StatusCode
	x.d.metrics.Relayed("answered")
	attempt.finish("answered/" + strconv.Itoa(response.StatusCode))
	return x.passResponse(ctx, host.OwnerView, response, otherHosts{x.relayHosts, x.relayHeaders})
}

// recordDecline discards the response with which another host declined the request, which it may have
// sent to a server before.
func (x *exchange) recordDecline(response *upstream.Answer) {
	x.countRelay(Outcome(response.Header.Get(HeaderOutcome)) != OutcomeNotRun)
	response.DrainAndClose()
}

// countRelay counts a request that another host may have sent to a server without a response.
func (x *exchange) countRelay(mayHaveRun bool) {
	if mayHaveRun {
		x.written = true
		x.attemptsRun++
		x.attemptsArrived++
	}
}

// beginRelay adds a host that the request is offered to to the log record.
func (x *exchange) beginRelay(host string) *attempt {
	a := &attempt{server: host, startedAt: time.Now(), purpose: purposeRelay}
	x.trace.attempts = append(x.trace.attempts, a)
	return a
}

// toRelay returns the destination for another host that is to serve the request.
func (x *exchange) toRelay(host world.RelayHost) destination {
	to := x.toOwner(host.OwnerView, x.relayHeaders)
	to.maxIdle = relayMaxIdle
	return to
}

func (x *exchange) relayHeaders(h http.Header) {
	x.forwardHeaders(h)
	h.Set(HeaderAttempts, strconv.Itoa(max(x.req.maxAttempts()-x.attemptsRun, 1)))
	h.Set(HeaderArrived, strconv.Itoa(x.attemptsArrived))
	h.Set(HeaderObjective, strconv.FormatInt(x.req.Objective.Milliseconds(), 10))
	h.Set(HeaderPriority, strconv.Itoa(x.req.Priority))
	h.Set(HeaderGroup, x.req.Group)
	if x.claimed {
		h.Set(HeaderClaimed, "true")
	}
	if x.counted {
		h.Set(HeaderCounted, "true")
	}
}

// mayRelayTo reports whether a host may receive the request.
func (x *exchange) mayRelayTo(host world.RelayHost) bool {
	return x.req.Homes.Allows(x.d.conf.Regions, host.DataCentre)
}

// relayHosts returns the hosts at which a download may be resumed.
func (x *exchange) relayHosts() []world.OwnerView {
	var hosts []world.OwnerView
	for _, host := range x.d.relays.choose(time.Now(), x.d.snapshot(), x.mayRelayTo, maxRelays) {
		hosts = append(hosts, host.OwnerView)
	}
	return hosts
}

// refusePathLost returns the refusal of a request that neither this host nor another one can send.
func (x *exchange) refusePathLost() *Refusal {
	return refuseNotRun(errs.New(errs.KindPathLost, "this host cannot connect to any backend server, and no other host took the request", "repeat the request after the time in Retry-After; check the network between hosts and servers"), x.retryAfter())
}

// relayTable chooses the hosts that requests are relayed through.
type relayTable struct {
	mu sync.Mutex
	// outstanding counts the requests relayed through each host, avoidUntil says how long a host
	// is not offered any.
	outstanding map[string]int
	avoidUntil  map[string]time.Time
}

func newRelayTable() *relayTable {
	return &relayTable{outstanding: make(map[string]int), avoidUntil: make(map[string]time.Time)}
}

// choose returns up to count hosts in the order in which to offer them a request. Hosts of the own
// data centre come first as long as they are not outnumbered there by those that relay, so that no
// host gets more than about one other host's requests on top of its own. Of two random hosts the
// one with fewer outstanding requests comes first.
func (t *relayTable) choose(now time.Time, snap *world.Snapshot, allowed func(world.RelayHost) bool, count int) []world.RelayHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, far []world.RelayHost
	for _, host := range snap.Relays {
		switch {
		case !allowed(host) || now.Before(t.avoidUntil[host.Host]):
		case host.DataCentre == snap.Self.DataCentre:
			near = append(near, host)
		default:
			far = append(far, host)
		}
	}
	if len(near) < snap.HostsWithoutPath {
		near, far = append(near, far...), nil
	}
	return append(t.draw(near, count), t.draw(far, max(count-len(near), 0))...)
}

// draw returns up to count of the hosts: first the less busy one of two random hosts, then any.
func (t *relayTable) draw(hosts []world.RelayHost, count int) []world.RelayHost {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	if len(hosts) > 1 && t.outstanding[hosts[1].Host] < t.outstanding[hosts[0].Host] {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	return hosts[:min(count, len(hosts))]
}

// acquire counts a request that is relayed through a host until release is called.
func (t *relayTable) acquire(host string) (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding[host]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.outstanding[host]--; t.outstanding[host] == 0 {
			delete(t.outstanding, host)
		}
	}
}

// avoid offers a host no requests for a while.
func (t *relayTable) avoid(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, until := range t.avoidUntil {
		if now.After(until) {
			delete(t.avoidUntil, other)
		}
	}
	t.avoidUntil[host] = now.Add(relayHoldOff)
}

// handleHostFailure handles a send to another host that got no response. done is false if the
// request may be offered to another one.
func (x *exchange) handleHostFailure(ctx context.Context, failure *upstream.Failure) (done bool, err error) {
	typed := toTypedError(failure.Unwrap())
	switch {
	case isCallerGone(ctx):
		return true, refuse(x.written || failure.Written, typed)
	case failure.Written && !x.mayRepeat():
		return true, refuseUnknown(typed)
	}
	x.written = x.written || failure.Written
	return false, nil
}

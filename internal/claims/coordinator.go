package claims

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

const (
	// Claimants is the number of hosts asked for a key, spread over the data
	// centres.
	Claimants = 6

	// HoldBeyond is added to a request's deadline for an unfinished claim, so
	// that a host that freezes before its write and wakes late still finds the
	// key taken by itself alone.
	HoldBeyond = 15 * time.Minute

	releaseTimeout = 2 * time.Second

	// splitBackoff is the wait for other requests with the key to give way.
	splitBackoff = 5 * time.Millisecond
)

// Quorum returns how many of n claimants must grant: any two quorums meet,
// also where the two claimants' lists differ in one host, from four on.
//
//	n        1  2  3  4  5  6
//	quorum   1  2  2  3  4  4
func Quorum(n int) int {
	switch n {
	case 0, 1, 2:
		return n
	case 3:
		return 2
	case 4:
		return 3
	default:
		return 4
	}
}

// PeerClient returns the client of a host's peer listener.
type PeerClient interface {
	Peer(address string) peerpb.Peer
}

// Coordinator claims keys for the requests of one host.
type Coordinator struct {
	self    string
	table   *Table
	peers   PeerClient
	timeout time.Duration
}

// NewCoordinator returns a coordinator that grants from table for itself.
func NewCoordinator(self string, table *Table, peers PeerClient, timeout time.Duration) *Coordinator {
	return &Coordinator{self: self, table: table, peers: peers, timeout: timeout}
}

// Claim is a key that this host holds for one request.
type Claim struct {
	coordinator *Coordinator
	key         Key
	id          string
	addresses   map[string]string
	asked       sync.WaitGroup
}

type vote struct {
	host     string
	decision peerpb.ClaimResponse_Decision
	holder   string
	err      error
}

// Claimable is the hosts among which a key is spread, with their addresses by name. All hosts
// must name the same ones for a key.
type Claimable struct {
	Hosts     []rendezvous.Node
	Addresses map[string]string
}

// Claim asks the claimants of a key. It returns a typed error if another
// request holds it (KindClaimHeld) or no quorum answered (KindClaimRefused); in
// both cases nothing stays claimed for the request.
//
// Requests that come at the same moment may split the claimants. The one with
// the lowest identity then keeps what it has and asks again, the others give
// way, so that one of them gets the quorum.
func (c *Coordinator) Claim(ctx context.Context, among Claimable, key Key, requestID string, hold time.Duration) (*Claim, error) {
	held, hosts := c.newClaim(among, key, requestID)
	// Answers that come after the quorum are still waited for, so that a
	// release never overtakes its claim.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	b := &ballot{claim: held, hosts: hosts, quorum: Quorum(len(hosts)), hold: hold}
	err := b.run(ctx)
	go func() {
		held.asked.Wait()
		cancel()
	}()
	if err != nil {
		held.Release(false)
		return nil, err
	}
	return held, nil
}

// newClaim names the claimants. The identity is new for each call, because a
// late release of one call must not free the next.
func (c *Coordinator) newClaim(among Claimable, key Key, requestID string) (*Claim, []string) {
	hosts := rendezvous.Spread(key.Service+"/"+key.Key, among.Hosts, Claimants)
	cl := &Claim{
		coordinator: c,
		key:         key,
		id:          requestID + "/" + ulid.Make().String(),
		addresses:   make(map[string]string, len(hosts)),
	}
	for _, host := range hosts {
		cl.addresses[host] = among.Addresses[host]
	}
	return cl, hosts
}

// ballot collects the claimants' votes on one claim.
type ballot struct {
	claim   *Claim
	hosts   []string // not granted yet
	granted int
	quorum  int
	hold    time.Duration
}

// run asks until a quorum has granted or the claim is lost: to a request that
// has the quorum itself, or to one with a lower identity.
//
// It asks on for half a horizon at most: a key that was held when it began must
// not be taken after its holder has finished and been forgotten.
func (b *ballot) run(ctx context.Context) error {
	giveUp := time.Now().Add(b.claim.coordinator.table.horizon / 2)
	for {
		holders := b.round(ctx)
		if b.granted >= b.quorum {
			return nil
		}
		if len(holders) == 0 {
			return errs.New(errs.KindClaimRefused, "the idempotency key could not be secured over the fleet", "repeat the request with the same key after the time in Retry-After")
		}
		lowest := slices.Min(slices.Collect(maps.Keys(holders)))
		if lowest < b.claim.id || ctx.Err() != nil || time.Now().After(giveUp) {
			return heldError(lowest)
		}
		for holder, hosts := range holders {
			if hosts >= b.quorum {
				return heldError(holder)
			}
		}
		time.Sleep(splitBackoff)
	}
}

// round asks every host that has not granted, and returns the other holders of
// the key with the number of hosts where they hold it. It returns as soon as
// the quorum is reached.
func (b *ballot) round(ctx context.Context) map[string]int {
	asking := b.hosts
	b.hosts = nil
	votes := make(chan vote, len(asking))
	for _, host := range asking {
		b.claim.asked.Go(func() { votes <- b.claim.ask(ctx, host, b.hold) })
	}
	holders := make(map[string]int)
	for range asking {
		v := <-votes
		if v.err == nil && v.decision == peerpb.ClaimResponse_DECISION_GRANTED {
			b.granted++
		} else {
			b.hosts = append(b.hosts, v.host)
		}
		if v.err == nil && v.decision == peerpb.ClaimResponse_DECISION_HELD {
			holders[v.holder]++
		}
		if b.granted >= b.quorum {
			break
		}
	}
	return holders
}

func heldError(holder string) error {
	return errs.New(errs.KindClaimHeld, "another request with this idempotency key is running or has run, as "+holder, "ask for the outcome of that request before sending a new key")
}

func (cl *Claim) ask(ctx context.Context, host string, hold time.Duration) vote {
	c := cl.coordinator
	hold += HoldBeyond
	if host == c.self {
		decision, holder := c.table.Claim(cl.key, cl.id, hold)
		return vote{host: host, decision: decision, holder: holder}
	}
	resp, err := c.peers.Peer(cl.addresses[host]).Claim(ctx, &peerpb.ClaimRequest{
		Service:   cl.key.Service,
		Key:       cl.key.Key,
		RequestId: cl.id,
		Host:      c.self,
		HoldMs:    uint64(hold.Milliseconds()),
	})
	return vote{host: host, decision: resp.GetDecision(), holder: resp.GetHolderRequestId(), err: err}
}

// Release ends the claim in the background: finished keys are remembered for
// the horizon, others can be claimed again.
func (cl *Claim) Release(finished bool) {
	c := cl.coordinator
	c.table.Release(cl.key, cl.id, finished)
	for host, address := range cl.addresses {
		if host != c.self {
			go func() {
				cl.asked.Wait()
				cl.releaseAt(address, finished)
			}()
		}
	}
}

func (cl *Claim) releaseAt(address string, finished bool) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := cl.coordinator.peers.Peer(address).Release(ctx, &peerpb.ReleaseRequest{
		Service:   cl.key.Service,
		Key:       cl.key.Key,
		RequestId: cl.id,
		Finished:  finished,
	})
	if err != nil {
		klog.V(3).InfoS("claim release not delivered; it ends by time", "address", address, "err", err)
	}
}

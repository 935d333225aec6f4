package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
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

	// splitTries and splitBackoff bound the tries of requests with the same
	// key that come at the same moment.
	splitTries   = 4
	splitBackoff = 20 * time.Millisecond
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
	requestID   string
	addresses   map[string]string
	asked       sync.WaitGroup
}

type vote struct {
	decision peerpb.ClaimResponse_Decision
	holder   string
	err      error
}

// Claim asks the claimants of a key. It returns a typed error if another
// request holds it (KindClaimHeld) or no quorum answered (KindClaimRefused); in
// both cases nothing stays claimed for the request. Where two requests split
// the claimants between them, each gives way and tries again after a random
// time.
func (c *Coordinator) Claim(ctx context.Context, snap *world.Snapshot, key Key, requestID string, hold time.Duration) (*Claim, error) {
	var err error
	for range splitTries {
		var held *Claim
		var split bool
		held, split, err = c.claimOnce(ctx, snap, key, requestID, hold)
		if err == nil {
			return held, nil
		}
		held.Release(false)
		if !split {
			return nil, err
		}
		held.asked.Wait()
		time.Sleep(splitBackoff/2 + rand.N(splitBackoff))
	}
	return nil, err
}

func (c *Coordinator) claimOnce(ctx context.Context, snap *world.Snapshot, key Key, requestID string, hold time.Duration) (held *Claim, split bool, err error) {
	hosts := rendezvous.Spread(key.Service+"/"+key.Key, snap.Claimants, Claimants)
	held = &Claim{coordinator: c, key: key, requestID: requestID, addresses: make(map[string]string, len(hosts))}
	for _, host := range hosts {
		held.addresses[host] = snap.ClaimantAddress[host]
	}
	// Answers that come after the quorum are still waited for, so that a
	// release never overtakes its claim.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	votes := make(chan vote, len(hosts))
	for _, host := range hosts {
		held.asked.Go(func() { votes <- c.ask(ctx, host, held, hold) })
	}
	go func() {
		held.asked.Wait()
		cancel()
	}()
	split, err = tally(votes, len(hosts))
	return held, split, err
}

// tally counts votes until the result is sure. split means that other requests
// hold some claimants but perhaps no quorum.
func tally(votes <-chan vote, asked int) (split bool, err error) {
	granted, conflicts := 0, 0
	holder := ""
	quorum := Quorum(asked)
	for range asked {
		v := <-votes
		switch {
		case v.err != nil:
		case v.decision == peerpb.ClaimResponse_DECISION_GRANTED:
			granted++
		case v.decision == peerpb.ClaimResponse_DECISION_HELD:
			conflicts++
			holder = v.holder
		}
		if granted >= quorum {
			return false, nil
		}
		if conflicts >= quorum {
			break
		}
	}
	if conflicts > 0 {
		return conflicts < quorum, errs.New(errs.KindClaimHeld, "another request with this idempotency key is running or has run, as "+holder, "ask for the outcome of that request before sending a new key")
	}
	return false, errs.New(errs.KindClaimRefused, "the idempotency key could not be secured over the fleet", "repeat the request with the same key after the time in Retry-After")
}

func (c *Coordinator) ask(ctx context.Context, host string, held *Claim, hold time.Duration) vote {
	hold += HoldBeyond
	if host == c.self {
		decision, holder := c.table.Claim(held.key, held.requestID, hold)
		return vote{decision: decision, holder: holder}
	}
	resp, err := c.peers.Peer(held.addresses[host]).Claim(ctx, &peerpb.ClaimRequest{
		Service:   held.key.Service,
		Key:       held.key.Key,
		RequestId: held.requestID,
		Host:      c.self,
		HoldMs:    uint64(hold.Milliseconds()),
	})
	return vote{decision: resp.GetDecision(), holder: resp.GetHolderRequestId(), err: err}
}

// Release ends the claim in the background: finished keys are remembered for
// the horizon, others can be claimed again.
func (cl *Claim) Release(finished bool) {
	c := cl.coordinator
	c.table.Release(cl.key, cl.requestID, finished)
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
		RequestId: cl.requestID,
		Finished:  finished,
	})
	if err != nil {
		klog.V(3).InfoS("claim release not delivered; it ends by time", "address", address, "err", err)
	}
}

package claims

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

const (
	// MaxVoters is the maximum number of hosts that vote on a key. They are spread
	// over the data centres.
	MaxVoters = 6

	// HoldMargin is added to the time until a request's deadline to get the lifetime
	// of an unfinished claim. A host that is paused just before it writes the request
	// and resumes late thereby still holds the key.
	HoldMargin = 15 * time.Minute

	releaseTimeout = 2 * time.Second

	// maxRequestIDBytes is how much of a request ID voters keep. The ULID that follows it tells claims apart.
	maxRequestIDBytes = 64

	// contentionBackoff is the delay before a retry when no request has a quorum, in
	// which competing requests release their votes.
	contentionBackoff = 5 * time.Millisecond
)

// Quorum returns how many of n voters must grant a claim. Any two quorums of the
// same voters intersect. From four voters on, they also do if two hosts' lists of
// voters differ in one host.
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

// PeerClient returns RPC clients for the peer listeners of other hosts.
type PeerClient interface {
	Peer(address string) peerpb.Peer
}

// Coordinator claims keys on behalf of the requests that one host processes.
type Coordinator struct {
	self    string
	table   *Table
	peers   PeerClient
	timeout time.Duration
}

// NewCoordinator returns a coordinator for the host self, whose own votes come from
// table. timeout limits the RPCs of one claim.
func NewCoordinator(self string, table *Table, peers PeerClient, timeout time.Duration) *Coordinator {
	return &Coordinator{self: self, table: table, peers: peers, timeout: timeout}
}

// Claim is a claim on a key, held by this host for one request.
type Claim struct {
	coordinator *Coordinator
	key         Key
	id          string
	addresses   map[string]string
	pending     sync.WaitGroup
}

// vote is the response of one host to a claim.
type vote struct {
	host     string
	decision peerpb.ClaimResponse_Decision
	holder   string
	err      error
}

// Candidates is the set of hosts from which the voters on a key are chosen, with their
// addresses by host name. All hosts must use the same set for a key.
type Candidates struct {
	Hosts     []rendezvous.Node
	Addresses map[string]string
}

// Claim claims a key for a request. It returns a typed error if another request
// holds the key (KindClaimHeld) or no quorum granted it (KindClaimUnavailable). In both
// cases it releases any votes that the request has.
//
// Concurrent requests may split the vote. The one with the lowest ID then keeps its
// votes and retries, and the others release theirs, so that one gets the quorum.
func (c *Coordinator) Claim(ctx context.Context, candidates Candidates, key Key, requestID string, hold time.Duration) (*Claim, error) {
	held, voters := c.newClaim(candidates, key, requestID)
	// Responses that arrive after the quorum are still awaited, so that a release is
	// never sent before its claim has been processed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	b := &ballot{claim: held, voters: voters, quorum: Quorum(len(voters)), hold: hold}
	err := b.run(ctx)
	go func() {
		held.pending.Wait()
		cancel()
	}()
	if err != nil {
		held.Release(false)
		return nil, err
	}
	return held, nil
}

// newClaim returns a new claim and its voters. The claim's ID is unique to the call,
// so that a late release by an earlier call for the same request cannot free it.
func (c *Coordinator) newClaim(candidates Candidates, key Key, requestID string) (*Claim, []string) {
	hosts := rendezvous.Spread(key.Service+"/"+key.Key, candidates.Hosts, MaxVoters)
	cl := &Claim{
		coordinator: c,
		key:         key,
		id:          shortened(requestID) + "/" + ulid.Make().String(),
		addresses:   make(map[string]string, len(hosts)),
	}
	for _, host := range hosts {
		cl.addresses[host] = candidates.Addresses[host]
	}
	return cl, hosts
}

// shortened returns the beginning of a request ID, which callers may choose and voters keep. It is valid UTF-8, as calls
// require.
func shortened(requestID string) string {
	return strings.ToValidUTF8(requestID[:min(len(requestID), maxRequestIDBytes)], "?")
}

// ballot collects the votes on one claim.
type ballot struct {
	claim   *Claim
	voters  []string // hosts that have not granted the claim yet
	granted int
	quorum  int
	hold    time.Duration
}

// run requests votes until a quorum has granted the claim or the claim is lost to a
// request that has a quorum or a lower ID.
//
// It retries for at most half the horizon. A later retry could claim the key of a
// request that has finished and expired in the meantime, and run it again.
func (b *ballot) run(ctx context.Context) error {
	deadline := time.Now().Add(b.claim.coordinator.table.horizon / 2)
	for {
		holders := b.round(ctx)
		if b.granted >= b.quorum {
			return nil
		}
		if len(holders) == 0 {
			return errs.New(errs.KindClaimUnavailable, "no quorum of hosts granted the idempotency key", "repeat the request with the same key after the time in Retry-After")
		}
		lowestID := slices.Min(slices.Collect(maps.Keys(holders)))
		if lowestID < b.claim.id || ctx.Err() != nil || time.Now().After(deadline) {
			return heldError(lowestID)
		}
		for holder, hosts := range holders {
			if hosts >= b.quorum {
				return heldError(holder)
			}
		}
		time.Sleep(contentionBackoff)
	}
}

// round requests a vote from every host that has not granted the claim. It returns
// the other holders of the key with the number of hosts that report each. It returns
// early once the quorum is reached.
func (b *ballot) round(ctx context.Context) map[string]int {
	remaining := b.voters
	b.voters = nil
	votes := make(chan vote, len(remaining))
	for _, host := range remaining {
		b.claim.pending.Go(func() { votes <- b.claim.requestVote(ctx, host, b.hold) })
	}
	holders := make(map[string]int)
	for range remaining {
		v := <-votes
		if v.err == nil && v.decision == peerpb.ClaimResponse_DECISION_GRANTED {
			b.granted++
		} else {
			b.voters = append(b.voters, v.host)
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
	return errs.New(errs.KindDuplicateRequest, "another request with this idempotency key is running or has run: "+holder, "query the outcome of that request before sending a new key")
}

func (cl *Claim) requestVote(ctx context.Context, host string, hold time.Duration) vote {
	c := cl.coordinator
	hold += HoldMargin
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

// Release ends the claim. Other hosts are notified in the background. The key of a
// finished request stays held for the horizon; others can be claimed again.
func (cl *Claim) Release(finished bool) {
	c := cl.coordinator
	c.table.Release(cl.key, cl.id, finished)
	for host, address := range cl.addresses {
		if host != c.self {
			go func() {
				cl.pending.Wait()
				cl.releaseAt(address, finished)
			}()
		}
	}
}

// releaseAt releases the claim at one other host. If that fails, the claim expires
// there.
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
		klog.V(3).InfoS("claim release not delivered; the claim will expire", "address", address, "err", err)
	}
}

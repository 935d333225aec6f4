package claims_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// network joins tables without sockets; calls take a random time, and releases
// may be much slower than claims.
type network struct {
	tables map[string]*claims.Table
	down   map[string]bool
	delay  time.Duration
}

// lateTries of a key that is held, while slow releases arrive.
const lateTries = 10

type stub struct {
	peerpb.Peer
	n    *network
	host string
}

func (n *network) Peer(address string) peerpb.Peer { return &stub{n: n, host: address} }

func (n *network) travel(d time.Duration) {
	if d > 0 {
		time.Sleep(rand.N(d))
	}
}

func (s *stub) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	if s.n.down[s.host] {
		return nil, errors.New("down")
	}
	s.n.travel(s.n.delay)
	key := claims.Key{Service: req.Service, Key: req.Key}
	decision, holder := s.n.tables[s.host].Claim(key, req.RequestId, time.Duration(req.HoldMs)*time.Millisecond)
	return &peerpb.ClaimResponse{Decision: decision, HolderRequestId: holder}, nil
}

func (s *stub) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	s.n.travel(20 * s.n.delay)
	s.n.tables[s.host].Release(claims.Key{Service: req.Service, Key: req.Key}, req.RequestId, req.Finished)
	return &peerpb.ReleaseResponse{}, nil
}

// newNetwork returns n hosts old enough to grant.
func newNetwork(n int, horizon, delay time.Duration) (*network, claims.Claimable) {
	net := &network{tables: make(map[string]*claims.Table), down: make(map[string]bool), delay: delay}
	among := claims.Claimable{Addresses: make(map[string]string)}
	for i := range n {
		host := fmt.Sprintf("h%d", i)
		net.tables[host] = oldTable(horizon)
		among.Hosts = append(among.Hosts, rendezvous.NewNode(host, fmt.Sprintf("dc%d", i%3)))
		among.Addresses[host] = host
	}
	return net, among
}

func oldTable(horizon time.Duration) *claims.Table {
	var started atomic.Bool
	return claims.NewTable(horizon, func() time.Time {
		if started.CompareAndSwap(false, true) {
			return time.Now().Add(-2 * horizon)
		}
		return time.Now()
	})
}

// Of requests with one key at one time, through different hosts and with slow
// releases of tries that gave way, at most one gets the claim.
func TestOneHolderUnderSlowReleases(t *testing.T) {
	net, among := newNetwork(9, time.Minute, 2*time.Millisecond)
	const rounds = 20
	won := int64(0)
	for round := range rounds {
		var holders atomic.Int64
		var wg sync.WaitGroup
		key := claims.Key{Service: "s", Key: fmt.Sprint(round)}
		for i := range 4 {
			host := fmt.Sprintf("h%d", i)
			c := claims.NewCoordinator(host, net.tables[host], net, time.Second)
			wg.Go(func() {
				if _, err := c.Claim(t.Context(), among, key, fmt.Sprint("request-", i), time.Minute); err == nil {
					holders.Add(1)
				}
			})
		}
		wg.Wait()
		// While the releases of tries that gave way arrive, the key stays held.
		c := claims.NewCoordinator("h5", net.tables["h5"], net, time.Second)
		for range lateTries {
			if holders.Load() == 0 {
				break
			}
			if _, err := c.Claim(t.Context(), among, key, "late", time.Minute); err == nil {
				holders.Add(1)
			}
			net.travel(2 * net.delay)
		}
		if holders.Load() > 1 {
			t.Fatalf("round %d: %d holders of one key", round, holders.Load())
		}
		won += holders.Load()
	}
	if won < rounds*9/10 {
		t.Fatalf("only %d of %d keys found a holder", won, rounds)
	}
}

func TestReleasedKeyCanBeClaimedAgainButFinishedCannot(t *testing.T) {
	net, among := newNetwork(6, time.Minute, 0)
	c := claims.NewCoordinator("h0", net.tables["h0"], net, time.Second)
	key := claims.Key{Service: "s", Key: "k"}
	first, err := c.Claim(t.Context(), among, key, "r1", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	first.Release(false)
	var second *claims.Claim
	for second == nil { // the release travels in the background
		second, _ = c.Claim(t.Context(), among, key, "r2", time.Minute)
	}
	second.Release(true)
	if _, err := c.Claim(t.Context(), among, key, "r3", time.Minute); errs.KindOf(err) != errs.KindClaimHeld {
		t.Fatalf("want the key held, got %v", err)
	}
}

// The claim survives two claimants that are gone, and is refused beyond.
func TestQuorumOfClaimants(t *testing.T) {
	for down, want := range map[int]errs.Kind{2: "", 3: errs.KindClaimRefused} {
		net, among := newNetwork(6, time.Minute, 0)
		for i := range down {
			net.down[fmt.Sprintf("h%d", i+1)] = true
		}
		c := claims.NewCoordinator("h0", net.tables["h0"], net, time.Second)
		if _, err := c.Claim(t.Context(), among, claims.Key{Service: "s", Key: "a"}, "r", time.Minute); errs.KindOf(err) != want {
			t.Errorf("%d of 6 down: got %v", down, err)
		}
	}
}

// Any two quorums share a host, also where the lists of claimants differ in one.
func TestQuorumsMeet(t *testing.T) {
	for n := 1; n <= claims.Claimants; n++ {
		q := claims.Quorum(n)
		if 2*q <= n {
			t.Errorf("%d claimants: two quorums of %d need not meet", n, q)
		}
		common := n - 1 // the hosts in both lists
		if n >= 4 && 2*(q-1) <= common {
			t.Errorf("%d claimants: quorums of %d over lists that differ in one host need not meet", n, q)
		}
	}
}

func TestYoungTableAbstains(t *testing.T) {
	table := claims.NewTable(time.Minute, time.Now)
	decision, _ := table.Claim(claims.Key{Service: "s", Key: "k"}, "r", time.Minute)
	if decision != peerpb.ClaimResponse_DECISION_ABSTAIN {
		t.Fatalf("a young host decided %v", decision)
	}
}

// An owner that could not get a claim releases it late; the same request may by
// then have got its claim through another owner, and must keep it.
func TestLateReleaseOfAnotherOwnerFreesNothing(t *testing.T) {
	net, among := newNetwork(6, time.Minute, 5*time.Millisecond)
	key := claims.Key{Service: "s", Key: "k"}
	first := claims.NewCoordinator("h0", net.tables["h0"], net, time.Second)
	held, err := first.Claim(t.Context(), among, key, "request", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	held.Release(false) // travels for up to 100 ms
	second := claims.NewCoordinator("h1", net.tables["h1"], net, time.Second)
	for err = errors.New("not yet"); err != nil; {
		_, err = second.Claim(t.Context(), among, key, "request", time.Minute)
	}
	third := claims.NewCoordinator("h2", net.tables["h2"], net, time.Second)
	for range 3 * lateTries {
		if _, err := third.Claim(t.Context(), among, key, "other", time.Minute); err == nil {
			t.Fatal("a late release freed a key that is held")
		}
		net.travel(2 * net.delay)
	}
}

// With a claimant gone, a holder's quorum shows on three hosts only. A request
// of lower identity then asks on; it must give up well before the finished key
// is forgotten, or it would run a second time.
func TestAskingEndsBeforeTheHorizon(t *testing.T) {
	const horizon = 200 * time.Millisecond
	net, among := newNetwork(6, horizon, 0)
	key := claims.Key{Service: "s", Key: "k"}
	for _, host := range []string{"h0", "h1", "h2", "h3"} { // a quorum that has run
		net.tables[host].Claim(key, "z-high", time.Minute)
		net.tables[host].Release(key, "z-high", true)
	}
	net.down["h3"] = true
	other := claims.NewCoordinator("h5", net.tables["h5"], net, 10*horizon)
	if _, err := other.Claim(t.Context(), among, key, "a-low", time.Minute); errs.KindOf(err) != errs.KindClaimHeld {
		t.Fatalf("want the key held, got %v", err)
	}
}

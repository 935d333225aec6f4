package claims_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// fakeNetwork connects tables without sockets. Calls take a random time of up to
// delay, releases up to 20 times as long. If heldReleases is set, it receives the
// releases, which take effect when called.
type fakeNetwork struct {
	tables       map[string]*claims.Table
	down         map[string]bool
	delay        time.Duration
	heldReleases chan func()
}

// lateAttempts is the number of attempts to claim a held key while slow releases
// arrive.
const lateAttempts = 10

type fakePeer struct {
	peerpb.Peer
	n    *fakeNetwork
	host string
}

func (n *fakeNetwork) Peer(address string) peerpb.Peer { return &fakePeer{n: n, host: address} }

func (n *fakeNetwork) simulateLatency(d time.Duration) {
	if d > 0 {
		time.Sleep(rand.N(d))
	}
}

func (s *fakePeer) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	if s.n.down[s.host] {
		return nil, errors.New("down")
	}
	s.n.simulateLatency(s.n.delay)
	key := claims.Key{Service: req.Service, Key: req.Key}
	decision, holder := s.n.tables[s.host].Claim(key, req.RequestId, time.Duration(req.HoldMs)*time.Millisecond)
	return &peerpb.ClaimResponse{Decision: decision, HolderRequestId: holder}, nil
}

func (s *fakePeer) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	release := func() {
		s.n.tables[s.host].Release(claims.Key{Service: req.Service, Key: req.Key}, req.RequestId, req.Finished)
	}
	if s.n.heldReleases != nil {
		s.n.heldReleases <- release
		return &peerpb.ReleaseResponse{}, nil
	}
	s.n.simulateLatency(20 * s.n.delay)
	release()
	return &peerpb.ReleaseResponse{}, nil
}

// newNetwork returns a network of n hosts that have been up long enough to grant
// claims.
func newNetwork(n int, horizon, delay time.Duration) (*fakeNetwork, claims.Candidates) {
	net := &fakeNetwork{tables: make(map[string]*claims.Table), down: make(map[string]bool), delay: delay}
	candidates := claims.Candidates{Addresses: make(map[string]string)}
	for i := range n {
		host := fmt.Sprintf("h%d", i)
		net.tables[host] = newGrantingTable(horizon)
		candidates.Hosts = append(candidates.Hosts, rendezvous.NewNode(host, fmt.Sprintf("dc%d", i%3)))
		candidates.Addresses[host] = host
	}
	return net, candidates
}

// newGrantingTable returns the table of a host that started two horizons ago.
func newGrantingTable(horizon time.Duration) *claims.Table {
	var started atomic.Bool
	return claims.NewTable(horizon, 0, func() time.Time {
		if started.CompareAndSwap(false, true) {
			return time.Now().Add(-2 * horizon)
		}
		return time.Now()
	})
}

// At most one of several concurrent requests with the same key, sent through
// different hosts, gets the claim. Releases of attempts that lost arrive late and
// must not free the key.
func TestSingleHolderWithSlowReleases(t *testing.T) {
	net, candidates := newNetwork(9, time.Minute, 2*time.Millisecond)
	const rounds = 20
	claimed := int64(0)
	for round := range rounds {
		var holders atomic.Int64
		var wg sync.WaitGroup
		key := claims.Key{Service: "s", Key: fmt.Sprint(round)}
		for i := range 4 {
			host := fmt.Sprintf("h%d", i)
			c := claims.NewCoordinator(host, net.tables[host], net, time.Second)
			wg.Go(func() {
				if _, err := c.Claim(t.Context(), candidates, key, fmt.Sprint("request-", i), time.Minute); err == nil {
					holders.Add(1)
				}
			})
		}
		wg.Wait()
		// The key stays held while the releases of the lost attempts arrive.
		c := claims.NewCoordinator("h5", net.tables["h5"], net, time.Second)
		for range lateAttempts {
			if holders.Load() == 0 {
				break
			}
			if _, err := c.Claim(t.Context(), candidates, key, "late", time.Minute); err == nil {
				holders.Add(1)
			}
			net.simulateLatency(2 * net.delay)
		}
		if holders.Load() > 1 {
			t.Fatalf("round %d: got %d holders of one key, want at most 1", round, holders.Load())
		}
		claimed += holders.Load()
	}
	if claimed < rounds*9/10 {
		t.Fatalf("only %d of %d keys were claimed", claimed, rounds)
	}
}

func TestReleasedKeyCanBeClaimedAgainButFinishedCannot(t *testing.T) {
	net, candidates := newNetwork(6, time.Minute, 0)
	c := claims.NewCoordinator("h0", net.tables["h0"], net, time.Second)
	key := claims.Key{Service: "s", Key: "k"}
	first, err := c.Claim(t.Context(), candidates, key, "r1", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	first.Release(false)
	var second *claims.Claim
	for second == nil { // the release is delivered in the background
		second, _ = c.Claim(t.Context(), candidates, key, "r2", time.Minute)
	}
	second.Release(true)
	if _, err := c.Claim(t.Context(), candidates, key, "r3", time.Minute); errs.KindOf(err) != errs.KindDuplicateRequest {
		t.Fatalf("got %v, want KindClaimHeld", err)
	}
}

// A claim succeeds with two of six voters down and is refused with three.
func TestClaimNeedsQuorum(t *testing.T) {
	for down, want := range map[int]errs.Kind{2: "", 3: errs.KindClaimUnavailable} {
		net, candidates := newNetwork(6, time.Minute, 0)
		for i := range down {
			net.down[fmt.Sprintf("h%d", i+1)] = true
		}
		c := claims.NewCoordinator("h0", net.tables["h0"], net, time.Second)
		if _, err := c.Claim(t.Context(), candidates, claims.Key{Service: "s", Key: "a"}, "r", time.Minute); errs.KindOf(err) != want {
			t.Errorf("claim with %d of 6 voters down: got %v", down, err)
		}
	}
}

// Any two quorums share a host. From four voters on, this also holds for two lists of
// voters that differ in one host.
func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= claims.MaxVoters; n++ {
		q := claims.Quorum(n)
		if 2*q <= n {
			t.Errorf("%d voters: two quorums of %d need not intersect", n, q)
		}
		common := n - 1 // the hosts in both lists
		if n >= 4 && 2*(q-1) <= common {
			t.Errorf("%d voters: quorums of %d from lists that differ in one host need not intersect", n, q)
		}
	}
}

func TestNewTableAbstains(t *testing.T) {
	table := claims.NewTable(time.Minute, 0, time.Now)
	decision, _ := table.Claim(claims.Key{Service: "s", Key: "k"}, "r", time.Minute)
	if decision != peerpb.ClaimResponse_DECISION_ABSTAIN {
		t.Fatalf("new host voted %v, want DECISION_ABSTAIN", decision)
	}
}

// Guards against a voter that abstains for good once callers have used as many keys within a horizon as it can hold.
func TestFullTableHasRoomOnceClaimsExpire(t *testing.T) {
	const horizon = time.Minute
	now := time.Now()
	table := claims.NewTable(horizon, 0, func() time.Time { return now })
	now = now.Add(horizon)
	claim := func(n int) peerpb.ClaimResponse_Decision {
		key, request := claims.Key{Service: "s", Key: strconv.Itoa(n)}, strconv.Itoa(n)
		decision, _ := table.Claim(key, request, horizon)
		table.Release(key, request, true)
		return decision
	}
	granted := 0
	for claim(granted) == peerpb.ClaimResponse_DECISION_GRANTED {
		granted++
	}
	now = now.Add(horizon / 2)
	if decision := claim(granted + 1); decision != peerpb.ClaimResponse_DECISION_ABSTAIN {
		t.Errorf("a full table voted %v", decision)
	}
	now = now.Add(horizon / 2)
	if decision := claim(granted + 2); decision != peerpb.ClaimResponse_DECISION_GRANTED {
		t.Errorf("after the horizon: voted %v, want DECISION_GRANTED", decision)
	}
	if n := table.Len(); n != 1 {
		t.Errorf("%d claims are held, want 1", n)
	}
}

// Guards against callers that fill the memory of voters with long keys, or with requests whose claims are released before
// they arrive.
func TestClaimsFitTheMemory(t *testing.T) {
	const horizon, hostBytes, requests = time.Minute, 96 << 20, 250_000
	now := time.Now()
	text := func(n, length int) string { return fmt.Sprintf("%0*d", length, n) }
	for name, use := range map[string]func(table *claims.Table, n int){
		"claims": func(table *claims.Table, n int) {
			table.Claim(claims.Key{Service: strings.Clone("shop"), Key: text(n, 256)}, text(n, 91), horizon)
		},
		"releases": func(table *claims.Table, n int) {
			table.Release(claims.Key{Service: "shop", Key: "k"}, text(n, 91), false)
		},
	} {
		table := claims.NewTable(horizon, hostBytes, func() time.Time { return now })
		now = now.Add(horizon)
		before := heapBytes()
		for n := range requests {
			use(table, n)
		}
		if used := heapBytes() - before; used > hostBytes/8 {
			t.Errorf("%s take %d MB of a host with %d", name, used>>20, hostBytes>>20)
		}
		now = now.Add(horizon)
		if decision, _ := table.Claim(claims.Key{Service: "shop", Key: text(requests, 256)}, "r", horizon); decision != peerpb.ClaimResponse_DECISION_GRANTED {
			t.Errorf("%s: after the horizon the table voted %v", name, decision)
		}
		runtime.KeepAlive(table)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// The release of a claim by one owner may arrive after the same request has claimed
// the key through another owner. It must not free the newer claim.
func TestLateReleaseKeepsNewerClaim(t *testing.T) {
	net, candidates := newNetwork(6, time.Minute, 0)
	net.heldReleases = make(chan func(), len(candidates.Hosts))
	key := claims.Key{Service: "s", Key: "k"}
	claim := func(host, request string) (*claims.Claim, error) {
		return claims.NewCoordinator(host, net.tables[host], net, time.Second).Claim(t.Context(), candidates, key, request, time.Minute)
	}
	first, err := claim("h0", "request")
	if err != nil {
		t.Fatal(err)
	}
	first.Release(false)
	var releases []func()
	for range len(candidates.Hosts) - 1 {
		releases = append(releases, <-net.heldReleases)
	}
	if _, err := claim("h1", "request"); errs.KindOf(err) != errs.KindDuplicateRequest {
		t.Fatalf("claim of a key whose release has not arrived: got %v, want KindDuplicateRequest", err)
	}
	for range len(candidates.Hosts) - 1 { // of the claim that was refused
		(<-net.heldReleases)()
	}
	early := claims.Quorum(len(candidates.Hosts)) - 1 // h0 has released its own vote
	for _, release := range releases[:early] {
		release()
	}
	if _, err := claim("h1", "request"); err != nil {
		t.Fatal(err)
	}
	for _, release := range releases[early:] {
		release()
	}
	if _, err := claim("h2", "other"); errs.KindOf(err) != errs.KindDuplicateRequest {
		t.Fatalf("claim of a held key after late releases: got %v, want KindDuplicateRequest", err)
	}
}

// With one voter down, only three hosts report the holder of a key, which is less
// than a quorum, and a request with a lower ID keeps retrying. It must stop before
// the finished key expires, or the request would run a second time.
func TestClaimStopsRetryingBeforeHorizon(t *testing.T) {
	const horizon = 200 * time.Millisecond
	net, candidates := newNetwork(6, horizon, 0)
	key := claims.Key{Service: "s", Key: "k"}
	for _, host := range []string{"h0", "h1", "h2", "h3"} { // a quorum for a finished request
		net.tables[host].Claim(key, "z-high", time.Minute)
		net.tables[host].Release(key, "z-high", true)
	}
	net.down["h3"] = true
	other := claims.NewCoordinator("h5", net.tables["h5"], net, 10*horizon)
	if _, err := other.Claim(t.Context(), candidates, key, "a-low", time.Minute); errs.KindOf(err) != errs.KindDuplicateRequest {
		t.Fatalf("got %v, want KindClaimHeld", err)
	}
}

// Guards against a caller that fills the memory of voters with request IDs that it chooses, which they keep for the
// horizon, or that keeps calls from being encoded.
func TestClaimsDoNotKeepLongRequestIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, candidates := newNetwork(6, time.Minute, 0)
		c := claims.NewCoordinator("h0", net.tables["h0"], net, time.Second)
		key := claims.Key{Service: "s", Key: "k"}
		if _, err := c.Claim(t.Context(), candidates, key, "id \xff"+strings.Repeat("x", 60<<10), time.Minute); err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // a quorum suffices for the claim, the other voters learn of it later
		for host, table := range net.tables {
			_, holder := table.Claim(key, "other", time.Minute)
			if len(holder) > 256 || !utf8.ValidString(holder) || !strings.HasPrefix(holder, "id ") {
				t.Errorf("%s keeps a request ID of %d bytes that begins with %.10q", host, len(holder), holder)
			}
		}
	})
}

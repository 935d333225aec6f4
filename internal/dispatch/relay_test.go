package dispatch

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/metrics"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// relaysIn returns hosts of a data centre that requests may be relayed through.
func relaysIn(dataCentre string, names ...string) []world.RelayHost {
	var hosts []world.RelayHost
	for _, name := range names {
		hosts = append(hosts, world.RelayHost{OwnerView: world.OwnerView{Host: name, Address: name}, DataCentre: dataCentre})
	}
	return hosts
}

func anyHost(world.RelayHost) bool { return true }

func namesOf(hosts []world.RelayHost) []string {
	var names []string
	for _, host := range hosts {
		names = append(names, host.Host)
	}
	return names
}

// Hosts of the own data centre come first, unless those that relay outnumber them.
func TestRelaysOfTheOwnDataCentreComeFirst(t *testing.T) {
	table, now := newRelayTable(), time.Unix(1000, 0)
	snap := &world.Snapshot{Self: world.Identity{Host: "h1", DataCentre: "dc1"}, HostsWithoutPath: 2}
	snap.Relays = slices.Concat(relaysIn("dc1", "near1", "near2"), relaysIn("dc2", "far1", "far2"))
	for range 20 {
		got := namesOf(table.choose(now, snap, anyHost, 3))
		if len(got) != 3 || got[0][:4] != "near" || got[1][:4] != "near" || got[2][:3] != "far" {
			t.Fatalf("offered to %v", got)
		}
	}
	snap.HostsWithoutPath = 3
	first := make(map[string]int)
	for range 200 {
		first[namesOf(table.choose(now, snap, anyHost, 3))[0]]++
	}
	if len(first) != 4 {
		t.Errorf("offered first to %v, want all four hosts", first)
	}
}

// The host with fewer relayed requests outstanding is preferred, one that declined is left out for
// a while, and so is one that may not receive the request.
func TestRelayChoice(t *testing.T) {
	table, now := newRelayTable(), time.Unix(1000, 0)
	snap := &world.Snapshot{Self: world.Identity{Host: "h1", DataCentre: "dc1"}, Relays: relaysIn("dc1", "a", "b")}
	release := table.acquire("a")
	for range 20 {
		if got := table.choose(now, snap, anyHost, 1); got[0].Host != "b" {
			t.Fatalf("offered to %v, which is busier", namesOf(got))
		}
	}
	release()
	if len(table.outstanding) != 0 {
		t.Errorf("outstanding %v after all requests have ended", table.outstanding)
	}
	table.avoid(now, "b")
	if got := namesOf(table.choose(now, snap, anyHost, 3)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("offered to %v just after b declined", got)
	}
	if got := table.choose(now.Add(relayHoldOff+time.Millisecond), snap, anyHost, 3); len(got) != 2 {
		t.Errorf("offered to %v a while after b declined", namesOf(got))
	}
	if got := table.choose(now, snap, func(host world.RelayHost) bool { return host.Host == "b" }, 3); len(got) != 0 {
		t.Errorf("offered to %v, which may not receive it", namesOf(got))
	}
}

// A host takes a relayed request only to send it itself: it never relays it further.
func TestRelayedRequestIsNotRelayedAgain(t *testing.T) {
	d := &Dispatcher{balance: balance.NewTable(time.Now, policy.Config{})}
	for from, want := range map[string]bool{"": true, "h1": false} {
		x := &exchange{d: d, snap: &world.Snapshot{}, req: &Request{ForwardedBy: from}, unreachable: maxUnreachable}
		if got := x.shouldRelay(); got != want {
			t.Errorf("request from host %q: relayed %t, want %t", from, got, want)
		}
	}
}

// A host that has found servers unreachable itself declines a relayed request, so that another host
// may take it, instead of trying all of its servers.
func TestHostWithoutPathDeclinesARelayedRequest(t *testing.T) {
	x := &exchange{d: &Dispatcher{proto: protocol.Default(), balance: balance.NewTable(time.Now, policy.Config{})}, req: &Request{ForwardedBy: "h1"}, snap: &world.Snapshot{HostsRelay: true}}
	if x.isCutOff() {
		t.Error("declined without a reason")
	}
	x.unreachable = maxUnreachable
	if !x.isCutOff() {
		t.Error("a relayed request is not declined after servers were found unreachable")
	}
	refusal := x.refusePathLost()
	response := &upstream.Answer{Response: &http.Response{Header: http.Header{}}}
	response.Header.Set(HeaderOutcome, string(refusal.Outcome))
	response.Header.Set(HeaderKind, string(refusal.Err.Kind))
	if !x.hostDeclined(response) {
		t.Error("the entry host does not offer the request to another host")
	}
}

// Only hosts in the home regions of a request receive it.
func TestRelaysKeepToHomeRegions(t *testing.T) {
	d := &Dispatcher{conf: Config{Regions: region.Map{"dc1": "south", "dc2": "north"}}}
	x := &exchange{d: d, req: &Request{Homes: region.HomesOf([]string{"north"})}}
	for dataCentre, want := range map[string]bool{"dc1": false, "dc2": true, "dc9": false} {
		if got := x.mayRelayTo(world.RelayHost{DataCentre: dataCentre}); got != want {
			t.Errorf("may relay to a host in %s: %t, want %t", dataCentre, got, want)
		}
	}
}

// A request that a server may have received is a retry for the host that it is relayed to, which
// spends its own part of the retry allowance on it or refuses it.
func TestRelayedRetryNeedsAllowance(t *testing.T) {
	d := &Dispatcher{balance: balance.NewTable(time.Now, policy.Config{Retry: policy.DefaultRetryRule()}), metrics: metrics.New(prometheus.NewRegistry())}
	x := &exchange{d: d, snap: &world.Snapshot{}, req: &Request{ForwardedBy: "h1", Relayed: true, Arrived: 1, Idempotent: true}}
	refusal, refused := x.tryServers(t.Context()).(*Refusal)
	if !refused || refusal.Outcome != OutcomeUnknown || errs.KindOf(refusal.Err) != errs.KindServerShed {
		t.Errorf("a host that has just started does not refuse a retry: %v", refusal)
	}
	if x.trace.retryWithheld == "" {
		t.Error("the refusal names no state of the allowance")
	}
}

// The entry host tells the host that it relays a request to whether it has counted the request for
// the retry allowance, which would otherwise earn retries at both.
func TestRelayedRequestIsCountedOnce(t *testing.T) {
	for _, counted := range []bool{false, true} {
		x := &exchange{snap: &world.Snapshot{}, req: &Request{}, counted: counted}
		h := make(http.Header)
		x.relayHeaders(h)
		if got := h.Get(HeaderCounted) != ""; got != counted {
			t.Errorf("counted %t: told as %t", counted, got)
		}
	}
}

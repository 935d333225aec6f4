package dispatch

import (
	"sync"

	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
)

// A request with home regions sees only the backend servers in those regions, so that every
// kind of send is restricted to them: first sends, retries, copies, trials and resumed
// downloads. checkServer verifies this once more before the first byte.

// maxHomeViews bounds the cached views. Each takes about 150 bytes per server.
const maxHomeViews = 64

// homeViews caches the filtered service views for requests with home regions, only the newest
// of each. It is safe for concurrent use.
type homeViews struct {
	mu    sync.Mutex
	views map[homeViewKey]homeView
}

// homeViewKey identifies a service and a set of home regions.
type homeViewKey struct{ service, homes string }

// homeView is a service view and its restriction to some home regions.
type homeView struct{ source, filtered *world.ServiceView }

// viewFor returns the part of a service view that a request may use.
func (d *Dispatcher) viewFor(req *Request, whole *world.ServiceView) *world.ServiceView {
	if !req.Homes.Restricted() {
		return whole
	}
	d.homes.mu.Lock()
	defer d.homes.mu.Unlock()
	key := homeViewKey{service: req.Service, homes: req.Homes.String()}
	if cached, ok := d.homes.views[key]; ok && cached.source == whole {
		return cached.filtered
	}
	if d.homes.views == nil || len(d.homes.views) >= maxHomeViews {
		d.homes.views = make(map[homeViewKey]homeView)
	}
	filtered := whole.InDataCentres(func(dataCentre string) bool { return req.Homes.Allows(d.conf.Regions, dataCentre) })
	d.homes.views[key] = homeView{source: whole, filtered: filtered}
	return filtered
}

// refuseIfNoneInHome returns a refusal if none of the service's servers is in the request's
// home regions, else nil. whole is the unfiltered service view.
func (x *exchange) refuseIfNoneInHome(whole *world.ServiceView) *Refusal {
	if !x.req.Homes.Restricted() || len(x.view.Backends) > 0 || len(whole.Backends) == 0 {
		return nil
	}
	err := x.outsideHome("no backend server of " + x.req.Service + " is in the home regions of the request: " + x.req.Homes.String())
	return refuseNotRun(err, DefaultRetryAfter)
}

func (x *exchange) outsideHome(message string) *errs.Error {
	return errs.New(errs.KindOutsideHomeRegion, message, "start servers in a home region, or change home_regions")
}

// claimCandidates returns the hosts that may hold the claim on the request's idempotency key.
func (x *exchange) claimCandidates() claims.Candidates {
	claimable := claims.Candidates{Hosts: x.snap.ClaimCandidates, Addresses: x.snap.ClaimCandidateAddresses}
	if !x.req.Homes.Restricted() {
		return claimable
	}
	claimable.Hosts = nil
	for _, node := range x.snap.ClaimCandidates {
		if x.mayHoldClaim(node) {
			claimable.Hosts = append(claimable.Hosts, node)
		}
	}
	return claimable
}

func (x *exchange) mayHoldClaim(node rendezvous.Node) bool {
	return x.req.Homes.Allows(x.d.conf.Regions, node.Zone)
}

package dispatch

import (
	"sync"

	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
)

// A request with home regions sees the backend servers there and no others, so that every way
// to send keeps to them: first sends, retries, copies, trials and the rest of a download. The
// last look before the first byte checks it once more.

// maxHomeViews bounds the views that are kept, some 150 bytes a server each.
const maxHomeViews = 64

// homeViews keeps the views of services that requests with homes see, the newest of each. It is
// safe for concurrent use.
type homeViews struct {
	mu    sync.Mutex
	views map[homesAt]homeView
}

// homesAt names a service and the homes of a request.
type homesAt struct{ service, homes string }

// homeView is what a view of a service has within some homes.
type homeView struct{ whole, within *world.ServiceView }

// viewFor returns what a request may see of a service.
func (d *Dispatcher) viewFor(req *Request, whole *world.ServiceView) *world.ServiceView {
	if !req.Homes.Bound() {
		return whole
	}
	d.homes.mu.Lock()
	defer d.homes.mu.Unlock()
	at := homesAt{service: req.Service, homes: req.Homes.String()}
	if held, known := d.homes.views[at]; known && held.whole == whole {
		return held.within
	}
	if d.homes.views == nil || len(d.homes.views) >= maxHomeViews {
		d.homes.views = make(map[homesAt]homeView)
	}
	within := whole.Within(func(dataCentre string) bool { return req.Homes.Allow(d.conf.Regions, dataCentre) })
	d.homes.views[at] = homeView{whole: whole, within: within}
	return within
}

// noServerInHome refuses at once a request that no server of its homes can run, nil if there is
// one. whole is the service with all its servers.
func (x *exchange) noServerInHome(whole *world.ServiceView) *Refusal {
	if !x.req.Homes.Bound() || len(x.view.Backends) > 0 || len(whole.Backends) == 0 {
		return nil
	}
	err := x.outsideHome("no backend server of " + x.req.Service + " is in the home regions of the request: " + x.req.Homes.String())
	return notRun(err, defaultRetryAfter)
}

func (x *exchange) outsideHome(message string) *errs.Error {
	return errs.New(errs.KindOutsideHome, message, "start servers in a home region, or change home_regions")
}

// claimants are the hosts that may know the request's idempotency key.
func (x *exchange) claimants() claims.Claimable {
	among := claims.Claimable{Hosts: x.snap.Claimants, Addresses: x.snap.ClaimantAddress}
	if !x.req.Homes.Bound() {
		return among
	}
	among.Hosts = nil
	for _, node := range x.snap.Claimants {
		if x.mayHoldKey(node) {
			among.Hosts = append(among.Hosts, node)
		}
	}
	return among
}

func (x *exchange) mayHoldKey(node rendezvous.Node) bool {
	return x.req.Homes.Allow(x.d.conf.Regions, node.Zone)
}

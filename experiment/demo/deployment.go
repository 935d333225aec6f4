// Package demo runs the users' two deployments at small scale on loopback and
// shows what the fleet does: traffic, a gray fault and its ejection, a drain, a
// change of configuration, a planned stop.
package demo

import (
	"fmt"
	"time"

	"github.com/pearshelf/pearshelf/experiment/load"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// Deployment is one of the users' systems.
type Deployment struct {
	Name        string
	DataCentres []string
	Services    []config.Service
	Mix         []load.Kind
	// Victim is the service that gets the gray fault.
	Victim string
}

const meanServiceTime = 25 * time.Millisecond

func service(name string, servers, slots, floor int, detection config.Detection, idempotent bool) config.Service {
	svc := config.Service{
		Name:      name,
		Slots:     slots,
		Floor:     floor,
		Detection: detection,
		Probe:     config.Probe{Path: "/" + name + "/probe"},
		Routes:    []config.Route{{Path: "/" + name, Idempotent: idempotent}},
	}
	for i := range servers {
		svc.Backends = append(svc.Backends, config.Backend{ID: fmt.Sprintf("b%02d", i+1), Slots: slots})
	}
	return svc
}

// Swanreach sells tickets: false ejections cost it most.
func Swanreach() Deployment {
	return Deployment{
		Name:        "swanreach",
		DataCentres: []string{"perth-1", "perth-2", "perth-3"},
		Services: []config.Service{
			service("seatmap", 10, 3, 5, config.DetectionCareful, true),
			service("checkout", 15, 3, 8, config.DetectionCareful, false),
			service("gatefile", 5, 3, 3, config.DetectionCareful, true),
		},
		Mix: []load.Kind{
			{Service: "seatmap", Method: "GET", Path: "/seatmap/hall", Share: 0.5},
			{Service: "checkout", Method: "POST", Path: "/checkout/pay", Share: 0.3, Keyed: true},
			{Service: "gatefile", Method: "GET", Path: "/gatefile/list", Share: 0.2},
		},
		Victim: "seatmap",
	}
}

// HoangSon trades power: detection time costs it most.
func HoangSon() Deployment {
	return Deployment{
		Name:        "hoangson",
		DataCentres: []string{"hcmc-1", "hcmc-2", "hcmc-3", "hcmc-4"},
		Services: []config.Service{
			service("bidview", 10, 4, 6, config.DetectionFast, true),
			service("bidpost", 20, 4, 10, config.DetectionFast, false),
			service("settlefile", 10, 4, 4, config.DetectionFast, true),
		},
		Mix: []load.Kind{
			{Service: "bidview", Method: "GET", Path: "/bidview/status", Share: 0.5},
			{Service: "bidpost", Method: "POST", Path: "/bidpost/bid", Share: 0.3, Keyed: true},
			{Service: "settlefile", Method: "GET", Path: "/settlefile/day", Share: 0.2},
		},
		Victim: "bidview",
	}
}

// Fleet returns the configuration of the deployment's stand-ins.
func (d Deployment) Fleet(hosts int, seed uint64) fleet.Config {
	return fleet.Config{
		Hosts:       hosts,
		DataCentres: d.DataCentres,
		Services:    d.Services,
		Backend: func(service string, b config.Backend) backend.Config {
			return backend.Config{ID: service + "-" + b.ID, Slots: b.Slots, ServiceTime: meanServiceTime, Seed: seed}
		},
	}
}

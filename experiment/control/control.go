// Package control measures what a host spends on control as the fleet grows:
// datagram bytes and processor time, idle and at a fault.
package control

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pearshelf/pearshelf/experiment/load"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

const (
	settle  = 3 * time.Second
	servers = 10

	configurationLimit = time.Minute

	faultRate = 200 // requests a second over the fleet while there is a fault
)

// Result of one fleet size.
type Result struct {
	Hosts int
	// IdleBytes, BusyBytes (healthy traffic) and FaultBytes are datagram bytes a
	// second a host, sent and received together; FaultMost is the busiest host's.
	IdleBytes, BusyBytes, FaultBytes, FaultMost float64
	// IdleCore is the share of a core that a host uses without requests.
	IdleCore float64
	// PlatformCalls a second over the fleet, idle.
	PlatformCalls float64
	// ConfigMs is the time until a new revision is in force on every host.
	ConfigMs int64
}

// Run measures a fleet of a size for length, idle and then at a fault.
func Run(ctx context.Context, hosts int, length time.Duration) (Result, error) {
	f, err := start(ctx, hosts)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	time.Sleep(settle)
	result := Result{Hosts: hosts}
	calls, processor, bytes := f.Platform.Calls(), processorTime(), total(f)
	time.Sleep(length)
	perHostSecond := float64(hosts) * length.Seconds()
	result.IdleBytes = float64(total(f)-bytes) / perHostSecond
	result.IdleCore = (processorTime() - processor).Seconds() / perHostSecond
	result.PlatformCalls = float64(f.Platform.Calls()-calls) / length.Seconds()
	result.BusyBytes, _ = traffic(ctx, f, length)
	f.Backends["s"]["b01"].SetFaults(backend.Faults{ErrorRate: 0.5})
	result.FaultBytes, result.FaultMost = traffic(ctx, f, length)
	result.ConfigMs, err = configuration(ctx, f)
	return result, err
}

func start(ctx context.Context, hosts int) (*fleet.Fleet, error) {
	svc := config.Service{Name: "s", Floor: 5, Detection: config.DetectionFast, Slots: 3, Routes: []config.Route{{Path: "/s", Idempotent: true}}}
	for i := range servers {
		svc.Backends = append(svc.Backends, config.Backend{ID: fmt.Sprintf("b%02d", i)})
	}
	return fleet.StartReady(ctx, fleet.Config{
		Hosts: hosts, DataCentres: []string{"dc1", "dc2", "dc3"}, Services: []config.Service{svc},
		Backend: func(_ string, b config.Backend) backend.Config {
			return backend.Config{ID: b.ID, Slots: 3, ServiceTime: 5 * time.Millisecond, Seed: 1}
		},
	})
}

// processorTime is what the whole process has used, stand-ins included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func total(f *fleet.Fleet) uint64 {
	sum := uint64(0)
	for _, d := range f.Hosts {
		sent, received := d.DatagramBytes()
		sum += sent + received
	}
	return sum
}

// traffic sends requests for length and returns bytes a second: the mean over
// the hosts and the most of one host.
func traffic(ctx context.Context, f *fleet.Fleet, length time.Duration) (mean, most float64) {
	var targets []string
	var before []uint64
	for _, d := range f.Hosts {
		targets = append(targets, d.CallerAddress())
		sent, received := d.DatagramBytes()
		before = append(before, sent+received)
	}
	stream := load.Start(ctx, load.Config{
		Targets: targets, Rate: faultRate, Seed: 1, Limit: length,
		Mix: []load.Kind{{Service: "s", Method: "GET", Path: "/s/x", Share: 1}},
	})
	stream.Wait()
	for i, d := range f.Hosts {
		sent, received := d.DatagramBytes()
		rate := float64(sent+received-before[i]) / length.Seconds()
		mean += rate / float64(len(f.Hosts))
		most = max(most, rate)
	}
	return mean, most
}

func configuration(ctx context.Context, f *fleet.Fleet) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationLimit)
	defer cancel()
	begin := time.Now()
	revision, err := f.Publish()
	if err != nil {
		return 0, err
	}
	err = fleet.Until(ctx, "the configuration", func() bool {
		for _, d := range f.Hosts {
			if fleet.Revision(d, "services/"+fleet.Shard) < revision {
				return false
			}
		}
		return true
	})
	return time.Since(begin).Milliseconds(), err
}

// Package picking compares owner hosts with hosts that pick apart, on real
// daemons and sockets, beside one central queue as the bound.
package picking

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/experiment/load"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

const (
	servers     = 10
	slots       = 3
	serviceTime = 25 * time.Millisecond
)

// Config of a Run.
type Config struct {
	Hosts int
	// Load is the share of the servers' capacity that is asked for.
	Load float64
	// Owners sends requests through owner hosts.
	Owners bool
	// Length of the measured stream.
	Length time.Duration
	Seed   uint64
}

// Result of a Run.
type Result struct {
	Sent int
	// NotRun is how many requests were refused.
	NotRun int
	// Shed is how many tries a full server refused.
	Shed     int
	Median   time.Duration
	P99      time.Duration
	Complete int
}

// Run measures one way of picking under one load.
func Run(ctx context.Context, conf Config) (Result, error) {
	f, err := start(ctx, conf)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	var targets []string
	for _, d := range f.Hosts {
		targets = append(targets, d.CallerAddress())
	}
	rate := conf.Load * servers * slots / serviceTime.Seconds()
	stream := load.Start(ctx, load.Config{
		Targets: targets, Rate: rate, Seed: conf.Seed, Limit: conf.Length,
		Mix: []load.Kind{{Service: "s", Method: "GET", Path: "/s/read", Share: 1}},
	})
	answers := stream.Wait()
	result := Result{
		Sent: answers.Sent, NotRun: answers.Outcomes["not-run"], Complete: answers.Outcomes["complete"],
		Median: answers.Quantile(50), P99: answers.Quantile(99),
	}
	for _, s := range f.Backends["s"] {
		result.Shed += s.Shed()
	}
	return result, nil
}

func start(ctx context.Context, conf Config) (*fleet.Fleet, error) {
	svc := config.Service{
		Name: "s", Slots: slots, Detection: config.DetectionCareful, Floor: servers,
		Routes: []config.Route{{Path: "/s", Idempotent: true}},
	}
	for i := range servers {
		svc.Backends = append(svc.Backends, config.Backend{ID: string(rune('a' + i)), Slots: slots})
	}
	return fleet.StartReady(ctx, fleet.Config{
		Hosts:       conf.Hosts,
		DataCentres: []string{"dc1", "dc2", "dc3"},
		Services:    []config.Service{svc},
		Backend: func(_ string, b config.Backend) backend.Config {
			return backend.Config{ID: b.ID, Slots: slots, ServiceTime: serviceTime, Seed: conf.Seed + uint64(b.ID[0])}
		},
		Settings: func(_ int, s *settings.Settings) { s.Forwarding = &conf.Owners },
	})
}

// Bound returns the quantiles of one central queue before the same slots, from
// a queue model without any network.
func Bound(loadShare float64, requests int, seed uint64) (median, p99 time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 4))
	free := make([]float64, servers*slots)
	rate := loadShare * servers * slots / serviceTime.Seconds()
	latencies := make([]float64, 0, requests)
	at := 0.0
	for range requests {
		at += rng.ExpFloat64() / rate
		i := slices.Index(free, slices.Min(free))
		end := max(at, free[i]) + rng.ExpFloat64()*serviceTime.Seconds()
		free[i] = end
		latencies = append(latencies, end-at)
	}
	slices.SortFunc(latencies, cmp.Compare[float64])
	quantile := func(q int) time.Duration {
		return time.Duration(latencies[len(latencies)*q/100] * float64(time.Second))
	}
	return quantile(50), quantile(99)
}

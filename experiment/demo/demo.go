package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pearshelf/pearshelf/experiment/load"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/operator"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/internal/world"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

const (
	victimID    = "b02"
	drainedID   = "b03"
	stopGrace   = 500 * time.Millisecond
	stageLimit  = 20 * time.Second
	settle      = 2 * time.Second
	trafficTime = 10 * time.Minute // the stages end it sooner
)

// Config of a Run.
type Config struct {
	Deployment Deployment
	Hosts      int
	// Rate in requests a second.
	Rate  float64
	Fault backend.Faults
	Seed  uint64
	// Progress gets a line a stage.
	Progress io.Writer
}

// Report is what a run measured. Times are in milliseconds, -1 for never.
type Report struct {
	Deployment      string         `json:"deployment"`
	Hosts           int            `json:"hosts"`
	Rate            float64        `json:"rate_per_second"`
	Seed            uint64         `json:"seed"`
	Sent            int            `json:"sent"`
	Outcomes        map[string]int `json:"outcomes"`
	Foreign         int            `json:"foreign_answers"`
	RunTwice        int            `json:"non_idempotent_run_twice"`
	SuspectMs       int64          `json:"detection_suspect_ms"`
	EjectedMs       int64          `json:"detection_ejected_everywhere_ms"`
	FalseEjections  int            `json:"false_ejections"`
	DrainMs         int64          `json:"drain_confirmed_everywhere_ms"`
	WorkAfterDrain  int            `json:"requests_after_drain"`
	ConfigMs        int64          `json:"configuration_everywhere_ms"`
	StopMs          int64          `json:"planned_stop_ms"`
	LatencyMedianMs float64        `json:"latency_median_ms"`
	LatencyP99Ms    float64        `json:"latency_p99_ms"`
}

type stage struct {
	name string
	run  func(ctx context.Context) error
}

type runner struct {
	conf   Config
	fleet  *fleet.Fleet
	report Report
}

// Run starts the deployment, plays the stages under traffic, and reports.
func Run(ctx context.Context, conf Config) (Report, error) {
	r := &runner{conf: conf, report: Report{
		Deployment: conf.Deployment.Name, Hosts: conf.Hosts, Rate: conf.Rate, Seed: conf.Seed,
		SuspectMs: -1, EjectedMs: -1, DrainMs: -1, ConfigMs: -1, StopMs: -1,
	}}
	fleetConf := conf.Deployment.Fleet(conf.Hosts, conf.Seed)
	fleetConf.Settings = func(_ int, s *settings.Settings) {
		s.Timing.ClaimHorizon = s.Timing.Freshness // hosts are old enough after a second
		setStopGrace(s)
	}
	var err error
	r.fleet, err = fleet.Start(fleetConf)
	if err != nil {
		return r.report, err
	}
	defer r.fleet.Close()
	return r.report, r.play(ctx)
}

func (r *runner) play(ctx context.Context) error {
	r.say("starting %d hosts, %d services", r.conf.Hosts, len(r.conf.Deployment.Services))
	if err := r.limited(ctx, r.fleet.WaitReady); err != nil {
		return err
	}
	pause(ctx, settle)
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	traffic := load.Start(trafficCtx, load.Config{
		Targets: r.targets(), Rate: r.conf.Rate, Mix: r.conf.Deployment.Mix, Seed: r.conf.Seed, Limit: trafficTime,
	})
	stages := []stage{
		{"healthy traffic", func(ctx context.Context) error { pause(ctx, 2*settle); return nil }},
		{"gray fault on " + r.conf.Deployment.Victim + "/" + victimID, r.grayFault},
		{"drain of " + r.conf.Deployment.Victim + "/" + drainedID, r.drain},
		{"change of configuration", r.change},
		{"planned stop of the last host", r.stop},
	}
	for _, s := range stages {
		r.say("%s", s.name)
		if err := r.limited(ctx, s.run); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	stopTraffic()
	r.count(traffic.Wait())
	return nil
}

func (r *runner) limited(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stageLimit)
	defer cancel()
	return run(ctx)
}

func (r *runner) say(format string, args ...any) {
	fmt.Fprintf(r.conf.Progress, "%s: %s\n", r.conf.Deployment.Name, fmt.Sprintf(format, args...))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// targets leaves out the host that the last stage stops, as its balancer would.
func (r *runner) targets() []string {
	var targets []string
	for _, d := range r.fleet.Hosts[:max(1, len(r.fleet.Hosts)-1)] {
		targets = append(targets, d.CallerAddress())
	}
	return targets
}

// grayFault plants the fault and waits until every owner has ejected the server.
func (r *runner) grayFault(ctx context.Context) error {
	victim := r.conf.Deployment.Victim
	r.fleet.Backends[victim][victimID].SetFaults(r.conf.Fault)
	start := time.Now()
	return fleet.Until(ctx, "the ejection", func() bool {
		ejected := 0
		for _, d := range r.fleet.Hosts {
			_, state := fleet.Rotation(d, victim, victimID)
			if state != world.BackendHealthy && r.report.SuspectMs < 0 {
				r.report.SuspectMs = time.Since(start).Milliseconds()
			}
			if state == world.BackendEjected {
				ejected++
			}
		}
		if ejected < len(r.fleet.Hosts) {
			return false
		}
		r.report.EjectedMs = time.Since(start).Milliseconds()
		return true
	})
}

// drain drains a server by the operators' tool and watches for late work.
func (r *runner) drain(ctx context.Context) error {
	victim := r.conf.Deployment.Victim
	app, err := operator.New(operator.Config{Host: r.fleet.Hosts[0].OperatorAddress(), Output: operator.FormatTable, Actor: "bench", Out: io.Discard})
	if err != nil {
		return err
	}
	start := time.Now()
	if err := app.Statement(ctx, "drain", []string{"backend", victim + "/" + drainedID}); err != nil {
		return err
	}
	r.report.DrainMs = time.Since(start).Milliseconds()
	pause(ctx, settle) // the users allow a few seconds
	before := r.fleet.Backends[victim][drainedID].Served()
	pause(ctx, settle)
	r.report.WorkAfterDrain = r.fleet.Backends[victim][drainedID].Served() - before
	return nil
}

// change publishes a new revision and waits until it is in force everywhere.
func (r *runner) change(ctx context.Context) error {
	start := time.Now()
	revision, err := r.fleet.Publish()
	if err != nil {
		return err
	}
	err = fleet.Until(ctx, "the configuration", func() bool {
		for _, d := range r.fleet.Hosts {
			if fleet.Revision(d, world.KeyShardPrefix+fleet.Shard) < revision {
				return false
			}
		}
		return true
	})
	r.report.ConfigMs = time.Since(start).Milliseconds()
	return err
}

func (r *runner) stop(ctx context.Context) error {
	if len(r.fleet.Hosts) < 2 {
		return nil
	}
	start := time.Now()
	err := r.fleet.Hosts[len(r.fleet.Hosts)-1].Stop(ctx)
	r.report.StopMs = time.Since(start).Milliseconds()
	return err
}

func (r *runner) count(result load.Result) {
	r.report.Sent = result.Sent
	r.report.Outcomes = result.Outcomes
	r.report.Foreign = result.Foreign
	r.report.LatencyMedianMs = float64(result.Quantile(50).Microseconds()) / 1000
	r.report.LatencyP99Ms = float64(result.Quantile(99).Microseconds()) / 1000
	r.report.RunTwice = r.runTwice()
	r.report.FalseEjections = r.falseEjections()
}

// runTwice counts the non-idempotent requests that ran more than once.
func (r *runner) runTwice() int {
	sum := make(map[string]int)
	for _, svc := range r.conf.Deployment.Services {
		if svc.Routes[0].Idempotent {
			continue
		}
		for _, s := range r.fleet.Backends[svc.Name] {
			s.AddRuns(sum)
		}
	}
	twice := 0
	for _, n := range sum {
		if n > 1 {
			twice++
		}
	}
	return twice
}

// falseEjections counts healthy servers that any host took out.
func (r *runner) falseEjections() int {
	wrong := make(map[string]bool)
	for _, d := range r.fleet.Hosts {
		for _, e := range d.Events().Since(world.UnixEpoch) {
			guilty := e.Service == r.conf.Deployment.Victim && e.Backend == victimID
			if e.Number == event.BackendEjected && !guilty {
				wrong[e.Service+"/"+e.Backend] = true
			}
		}
	}
	return len(wrong)
}

func setStopGrace(s *settings.Settings) {
	s.Timing.StopGrace = config.Duration(stopGrace)
}

// Command pearshelf-bench runs whole deployments on loopback, in its own
// process and with real sockets, and prints the measures. Without flags it
// demonstrates both users' deployments in under a minute.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/experiment/demo"
	"github.com/pearshelf/pearshelf/experiment/report"
	"github.com/pearshelf/pearshelf/experiment/scale"
	"github.com/pearshelf/pearshelf/internal/version"
	"github.com/pearshelf/pearshelf/standin/backend"
)

type flags struct {
	Version   kong.VersionFlag `help:"Print the version and exit."`
	Seed      uint64           `help:"Seed of all random choices." default:"1"`
	JSON      bool             `help:"Print JSON instead of a table."`
	Demo      demoCommand      `cmd:"" default:"withargs" help:"Both deployments with a gray fault, a drain, a configuration change and a planned stop."`
	Detection detectionCommand `cmd:"" help:"Detection time and false ejections by a moved clock, against two baselines."`
	Picking   pickingCommand   `cmd:"" help:"Owner hosts against hosts that pick apart, beside one central queue."`
	Control   controlCommand   `cmd:"" help:"Bytes and processor time of control at growing fleet sizes."`
	Standins  standinsCommand  `cmd:"" help:"Platform and backend servers for daemons started by hand, until a signal."`
	Scale     scaleCommand     `cmd:"" help:"Cost of each control mechanism up to the target's size, with bounds as ratios."`
	Soak      soakCommand      `cmd:"" help:"Real daemons as processes under random faults from outside; checks every promise."`
	Replay    replayCommand    `cmd:"" help:"A load pattern against the policy in simulated time, beside the best that any fleet could do."`
	Latency   latencyCommand   `cmd:"" help:"Added time against a direct call, in the same run."`
}

type demoCommand struct {
	Deployment string  `help:"swanreach, hoangson or both." enum:"swanreach,hoangson,both" default:"both"`
	Hosts      int     `help:"Hosts of each deployment." default:"8"`
	Rate       float64 `help:"Requests a second to each deployment." default:"300"`
	ErrorRate  float64 `help:"Share of requests that the gray server fails." default:"0.6"`
	Slow       float64 `help:"Factor on the gray server's time, 0 for none." default:"0"`
}

// Run plays the demonstration.
func (c *demoCommand) Run(f *flags) error {
	deployments := map[string][]demo.Deployment{
		"swanreach": {demo.Swanreach()},
		"hoangson":  {demo.HoangSon()},
		"both":      {demo.Swanreach(), demo.HoangSon()},
	}
	fmt.Fprintf(os.Stderr, "seed %d\n", f.Seed)
	var reports []demo.Report
	for _, d := range deployments[c.Deployment] {
		r, err := demo.Run(context.Background(), demo.Config{
			Deployment: d, Hosts: c.Hosts, Rate: c.Rate, Seed: f.Seed, Progress: os.Stderr,
			Fault: backend.Faults{ErrorRate: c.ErrorRate, SlowFactor: c.Slow},
		})
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	if f.JSON {
		return printJSON(reports)
	}
	return report.Demo(os.Stdout, reports)
}

type detectionCommand struct {
	Runs    int           `help:"Runs of each fault." default:"100"`
	Healthy time.Duration `help:"Length of the healthy run before ten servers." default:"6h"`
}

// Run measures detection.
func (c *detectionCommand) Run(f *flags) error {
	return report.Detection(os.Stdout, c.Runs, c.Healthy, f.Seed)
}

type pickingCommand struct {
	Hosts  int           `help:"Hosts." default:"40"`
	Length time.Duration `help:"Length of each stream." default:"15s"`
}

// Run measures picking.
func (c *pickingCommand) Run(f *flags) error {
	return report.Picking(context.Background(), os.Stdout, c.Hosts, c.Length, f.Seed)
}

type controlCommand struct {
	Sizes  []int         `help:"Fleet sizes." default:"5,10,20,40"`
	Length time.Duration `help:"Length of each measurement." default:"15s"`
}

// Run measures control.
func (c *controlCommand) Run() error {
	return report.Control(context.Background(), os.Stdout, c.Sizes, c.Length)
}

type scaleCommand struct{}

// Run measures slopes.
func (scaleCommand) Run() error { return report.Scale(os.Stdout, scale.Run()) }

type latencyCommand struct {
	Requests int `help:"Requests of each kind." default:"5000"`
}

// Run measures added time.
func (c *latencyCommand) Run() error {
	return report.Latency(context.Background(), os.Stdout, c.Requests)
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// quietLogs keeps the daemons' logs off the terminal.
func quietLogs() {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	if err := set.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"}); err != nil {
		klog.ErrorS(err, "log flags")
	}
	klog.SetOutput(io.Discard)
}

func main() {
	quietLogs()
	var f flags
	kctx := kong.Parse(&f,
		kong.Name("pearshelf-bench"),
		kong.Description("Runs fleets on loopback with planted faults and measures them."),
		kong.Vars{"version": version.String()},
	)
	kctx.FatalIfErrorf(kctx.Run(&f))
}

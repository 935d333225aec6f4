// Package report runs the experiments and prints their tables.
package report

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pearshelf/pearshelf/experiment/control"
	"github.com/pearshelf/pearshelf/experiment/demo"
	"github.com/pearshelf/pearshelf/experiment/detection"
	"github.com/pearshelf/pearshelf/experiment/latency"
	"github.com/pearshelf/pearshelf/experiment/picking"
	"github.com/pearshelf/pearshelf/experiment/scale"
	"github.com/pearshelf/pearshelf/internal/config"
)

func table(out io.Writer, rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

// Demo prints the demonstration's reports side by side.
func Demo(out io.Writer, reports []demo.Report) error {
	lines := []struct {
		name  string
		value func(r demo.Report) any
	}{
		{"deployment", func(r demo.Report) any { return r.Deployment }},
		{"hosts", func(r demo.Report) any { return r.Hosts }},
		{"requests sent", func(r demo.Report) any { return r.Sent }},
		{"  complete", func(r demo.Report) any { return r.Outcomes["complete"] }},
		{"  not-run", func(r demo.Report) any { return r.Outcomes["not-run"] }},
		{"  unknown", func(r demo.Report) any { return r.Outcomes["unknown"] }},
		{"  stream aborted", func(r demo.Report) any { return r.Outcomes["broken"] }},
		{"foreign answers", func(r demo.Report) any { return r.Foreign }},
		{"non-idempotent run twice", func(r demo.Report) any { return r.RunTwice }},
		{"detection: first host prefers others, ms", func(r demo.Report) any { return r.SuspectMs }},
		{"detection: ejected on every host, ms", func(r demo.Report) any { return r.EjectedMs }},
		{"false ejections", func(r demo.Report) any { return r.FalseEjections }},
		{"drain confirmed by every host, ms", func(r demo.Report) any { return r.DrainMs }},
		{"requests to the drained server after 2 s", func(r demo.Report) any { return r.WorkAfterDrain }},
		{"configuration in force everywhere, ms", func(r demo.Report) any { return r.ConfigMs }},
		{"planned stop of a host, ms", func(r demo.Report) any { return r.StopMs }},
		{"latency median / p99, ms", func(r demo.Report) any { return fmt.Sprintf("%.1f / %.1f", r.LatencyMedianMs, r.LatencyP99Ms) }},
	}
	return table(out, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprint(w, line.name)
			for _, r := range reports {
				fmt.Fprintf(w, "\t%v", line.value(r))
			}
			fmt.Fprintln(w)
		}
	})
}

// faults of the detection table.
var faults = []struct {
	name  string
	fault detection.Fault
}{
	{"100% errors", detection.Fault{ErrorRate: 1}},
	{"30% errors", detection.Fault{ErrorRate: 0.3}},
	{"10% errors", detection.Fault{ErrorRate: 0.1}},
	{"wrong answers, half", detection.Fault{ErrorRate: 0.5}},
	{"slow x3", detection.Fault{Slow: 3}},
	{"slow x10", detection.Fault{Slow: 10}},
	{"flapping 10 s, 100%", detection.Fault{ErrorRate: 1, FlapEvery: 10 * time.Second}},
}

const (
	lowRate    = 10 // requests a second for each server
	normalRate = 72 // 60% of 3 slots at 25 ms
	warm       = 20 * time.Second
	faultTime  = 2 * time.Minute
	servers    = 10
	floor      = 5
)

// Detection prints times to suspicion and ejection, and false ejections.
func Detection(out io.Writer, runs int, healthy time.Duration, seed uint64) error {
	err := table(out, func(w io.Writer) {
		fmt.Fprintln(w, "policy\trate\tfault\tsuspect p50/p99\tejected p50/p99\tmissed\tfalse\tsent p50\talone p50 (baseline)\thealth check (baseline)")
		for _, policy := range []config.Detection{config.DetectionFast, config.DetectionCareful} {
			for _, rate := range []float64{lowRate, normalRate} {
				for _, f := range faults {
					detectionRow(w, policy, rate, f.name, f.fault, runs, seed)
				}
			}
		}
	})
	if err != nil {
		return err
	}
	return falseEjections(out, healthy, seed)
}

func base(policy config.Detection, rate float64) detection.Config {
	return detection.Config{Detection: policy, Servers: servers, Rate: rate, Floor: floor, Warm: warm, Length: faultTime}
}

func detectionRow(w io.Writer, policy config.Detection, rate float64, name string, fault detection.Fault, runs int, seed uint64) {
	var suspect, ejected, alone, sent []time.Duration
	wrong := 0
	for i := range uint64(runs) {
		conf := base(policy, rate)
		conf.Fault = fault
		conf.Seed = seed + i
		r := detection.Run(conf)
		suspect = append(suspect, r.Suspect)
		ejected = append(ejected, r.Ejected)
		sent = append(sent, time.Duration(r.Sent))
		wrong += r.False
		alone = append(alone, detection.Alone(rate, fault, seed+i))
	}
	s, e, a := detection.Summarize(suspect), detection.Summarize(ejected), detection.Summarize(alone)
	fmt.Fprintf(w, "%s\t%.0f/s\t%s\t%s / %s\t%s / %s\t%d of %d\t%d\t%d\t%s\tnever\n", policy, rate, name,
		seconds(s.Median), seconds(s.P99), seconds(e.Median), seconds(e.P99), e.Missed, runs, wrong,
		detection.Summarize(sent).Median, seconds(a.Median))
}

func seconds(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s", d.Seconds())
}

// falseEjections prints runs in which no single server is at fault.
func falseEjections(out io.Writer, healthy time.Duration, seed uint64) error {
	return table(out, func(w io.Writer) {
		fmt.Fprintln(w, "run without a faulty server\tpolicy\tendpoint-hours\tfalse ejections")
		for _, policy := range []config.Detection{config.DetectionFast, config.DetectionCareful} {
			cases := []struct {
				name   string
				adjust func(c *detection.Config)
			}{
				{"healthy", func(c *detection.Config) { c.Length = healthy }},
				{"whole service slow x3", func(c *detection.Config) { c.Fault.Slow = 3; c.All = true; c.Length = healthy / 6 }},
				{"whole service 20% errors", func(c *detection.Config) { c.Fault.ErrorRate = 0.2; c.All = true; c.Length = healthy / 6 }},
				{"one host's network bad", func(c *detection.Config) { c.BadHost = true; c.Length = healthy / 6 }},
				{"one host's path to one server bad", func(c *detection.Config) { c.BadPath = true; c.Length = healthy / 6 }},
			}
			for _, kase := range cases {
				conf := base(policy, lowRate)
				conf.Seed = seed
				kase.adjust(&conf)
				hours := conf.Length.Hours() * servers
				fmt.Fprintf(w, "%s\t%s\t%.0f\t%d\n", kase.name, policy, hours, detection.Run(conf).False)
			}
		}
	})
}

// Picking prints owner hosts against hosts that pick apart.
func Picking(ctx context.Context, out io.Writer, hosts int, length time.Duration, seed uint64) error {
	var failed error
	err := table(out, func(w io.Writer) {
		fmt.Fprintln(w, "load\tway\tsent\tnot run\tshed by servers\tp50\tp99\tp99 against the bound")
		for _, share := range []float64{0.5, 0.8, 0.95} {
			median, bound := picking.Bound(share, 200_000, seed)
			fmt.Fprintf(w, "%.0f%%\tone central queue (model)\t\t\t\t%s\t%s\t1.00\n", share*100, ms(median), ms(bound))
			for _, owners := range []bool{true, false} {
				r, err := picking.Run(ctx, picking.Config{Hosts: hosts, Load: share, Owners: owners, Length: length, Seed: seed})
				if err != nil {
					failed = err
					return
				}
				way := "each host picks alone"
				if owners {
					way = "owner hosts"
				}
				fmt.Fprintf(w, "%.0f%%\t%s\t%d\t%d\t%d\t%s\t%s\t%.2f\n", share*100, way, r.Sent, r.NotRun, r.Shed, ms(r.Median), ms(r.P99), float64(r.P99)/float64(bound))
			}
		}
	})
	if failed != nil {
		return failed
	}
	return err
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f ms", float64(d.Microseconds())/1000) }

// Control prints the cost of control at growing fleet sizes.
func Control(ctx context.Context, out io.Writer, sizes []int, length time.Duration) error {
	var failed error
	err := table(out, func(w io.Writer) {
		fmt.Fprintln(w, "hosts\tidle B/s a host\thealthy traffic\tat a fault\tbusiest host\tidle share of a core a host\tplatform calls/s\tconfiguration everywhere, ms")
		for _, hosts := range sizes {
			r, err := control.Run(ctx, hosts, length)
			if err != nil {
				failed = err
				return
			}
			fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.4f\t%.2f\t%d\n", hosts, r.IdleBytes, r.BusyBytes, r.FaultBytes, r.FaultMost, r.IdleCore, r.PlatformCalls, r.ConfigMs)
		}
	})
	if failed != nil {
		return failed
	}
	return err
}

// Latency prints the added time of each way.
func Latency(ctx context.Context, out io.Writer, requests int) error {
	results, err := latency.Run(ctx, requests)
	if err != nil {
		return err
	}
	direct := results[0]
	return table(out, func(w io.Writer) {
		fmt.Fprintln(w, "way\tmedian\tp99\tadded median\tadded p99\tmedian against direct")
		for _, r := range results {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.2f\n", r.Way, ms(r.Median), ms(r.P99), ms(r.Median-direct.Median), ms(r.P99-direct.P99), float64(r.Median)/float64(direct.Median))
		}
	})
}

// Scale prints the slopes; it returns an error if one breaks its bound.
func Scale(out io.Writer, slopes []scale.Slope) error {
	var broken []string
	err := table(out, func(w io.Writer) {
		fmt.Fprintln(w, "mechanism\tof\tunit\tsize: median of 3 (spread)\t\t\tgrowth of size\tof cost\texponent\tbound")
		for _, s := range slopes {
			fmt.Fprintf(w, "%s\t%s\t%s", s.Name, s.Of, s.Unit)
			for _, p := range s.Points {
				fmt.Fprintf(w, "\t%d: %.2f (%.0f%%)", p.Size, p.Value, 100*p.Spread)
			}
			sizes := float64(s.Points[len(s.Points)-1].Size) / float64(s.Points[0].Size)
			fmt.Fprintf(w, "\t%.0f\t%.1f\t%.2f\t%.0f\n", sizes, s.Growth(), s.Exponent(), s.Bound)
			if s.Exceeded() {
				broken = append(broken, s.Name)
			}
		}
	})
	if err == nil && len(broken) > 0 {
		return fmt.Errorf("grew beyond the bound: %s", strings.Join(broken, ", "))
	}
	return err
}

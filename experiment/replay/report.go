package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// Comparison is one pattern played by the policy and by the bound.
type Comparison struct {
	Pattern string
	Seeds   int
	Without []policy.Mechanism
	Limits  LimitWay
	Policy  *Result
	Bound   *Result
}

// Compare plays a pattern with seeds from the one of conf on.
func Compare(name string, seeds int, conf Config) (*Comparison, error) {
	pattern, err := Load(name)
	if err != nil {
		return nil, err
	}
	c := &Comparison{Pattern: name, Seeds: seeds, Without: conf.Without, Limits: conf.Limits, Policy: newResult(pattern), Bound: newResult(pattern)}
	for seed := range uint64(seeds) {
		one := conf
		one.Seed += seed
		c.Policy.add(Run(pattern, one))
		c.Bound.add(Bound(pattern, one.Seed))
	}
	return c, nil
}

// Table prints what the callers of each route got, shares of all requests.
func (c *Comparison) Table(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, %d seeds, without %v\n", c.Pattern, c.Seeds, c.Without)
	fmt.Fprintln(table, "route\tasked\tgoodput\tlate\trefused\tunserved\twithheld\tcopies\tp50\tp99\theld in vain\tgoodput of the bound\tunserved\t")
	rows := c.Policy.Routes
	bounds := c.Bound.Routes
	all, bound := c.Policy.Total(), c.Bound.Total()
	for i, r := range append(rows[:len(rows):len(rows)], &all) {
		b := &bound
		if i < len(bounds) {
			b = bounds[i]
		}
		asked := float64(max(r.Asked, 1))
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.3f\t%s\t%s\t%s\t%.3f\t%.3f\t\n",
			r.Route, r.Asked, r.Goodput(), r.LateShare(), float64(r.Refused)/asked, r.Unserved(), float64(r.Withheld)/asked, float64(r.Copies)/asked,
			r.Quantile(0.5).Round(time.Millisecond), r.Quantile(0.99).Round(time.Millisecond), r.HeldInVain.Round(time.Second),
			b.Goodput(), b.Unserved())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "retry allowance: at most %.2f spent in a window; %d messages between hosts\n", c.Policy.AllowanceSpent, c.Policy.Messages)
	for _, service := range slices.Sorted(maps.Keys(c.Policy.Use)) {
		u := c.Policy.Use[service]
		fmt.Fprintf(w, "%s: at %d moments a tenth to a half of the requests were not served; at %d of them over %.1f of the sound servers were out of use, at most %.2f\n",
			service, u.Moments, u.Broken, mostUnused, u.Worst)
	}
	if limits := c.Policy.Limits; limits.Room > 0 {
		fmt.Fprintf(w, "rate limits of servers: at most %.2f of what the rule allows in 4 s; %.2f of the room was used\n", limits.Worst, limits.Sent/limits.Room)
	}
	if ended := c.Policy.Ended; ended.Ends > 0 {
		fmt.Fprintf(w, "servers that requests ended: %d, at most %d by one content; %d requests of other contents were refused for it\n", ended.Ends, ended.Most, ended.Innocent)
	}
	_, err := fmt.Fprintf(w, "requests to a server over 2 s after it said that it leaves: %d; rests with more than two requests of a host: %d, at most %d\n",
		c.Policy.AfterLeaving, c.Policy.OverRest, c.Policy.InRest)
	return err
}

// Size of the plot, in pixels.
const (
	plotWidth  = 720
	plotHeight = 240
	plotMargin = 40
)

// Plot draws, for each second, the shares of requests in time, late and refused, and
// those in time by the bound, as SVG.
func (c *Comparison) Plot(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="16">%s: shares of the requests of each second</text>`, plotMargin, c.Pattern)
	lines := []struct {
		name, colour string
		result       *Result
		share        func(Second) int
	}{
		{"in time by the bound", "#999999", c.Bound, func(s Second) int { return s.InTime }},
		{"in time", "#1a7f37", c.Policy, func(s Second) int { return s.InTime }},
		{"late", "#bf8700", c.Policy, func(s Second) int { return s.Late }},
		{"refused", "#0969da", c.Policy, func(s Second) int { return s.Refused }},
		{"failed", "#cf222e", c.Policy, func(s Second) int { return s.Failed }},
	}
	for i, l := range lines {
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`, l.colour, points(l.result, l.share))
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`, plotMargin+i*130, plotHeight-8, l.colour, l.name)
	}
	fmt.Fprintf(&b, `<text x="8" y="%d">1</text><text x="8" y="%d">0</text></svg>`, plotMargin, plotHeight-plotMargin)
	_, err := fmt.Fprintln(w, b.String())
	return err
}

func points(r *Result, share func(Second) int) string {
	var b strings.Builder
	seconds := len(r.Seconds) - 1 // the last one is cut short
	for i, s := range r.Seconds[:seconds] {
		x := plotMargin + float64(i)*(plotWidth-2*plotMargin)/float64(max(seconds-1, 1))
		y := plotHeight - plotMargin - float64(share(s))/float64(max(s.Asked, 1))*(plotHeight-2*plotMargin)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}

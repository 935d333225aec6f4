// Package replay plays a load pattern against the decisions of package policy in
// simulated time: no sockets, no sleeps, and the same result from the same seed.
// It is the harness of the tests that a policy's gain needs, and a way to compare
// policies without a bench.
package replay

import (
	"bytes"
	"embed"
	"os"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
)

// patterns are the project's own load patterns.
//
//go:embed patterns/*.yaml
var patterns embed.FS

// Pattern is a load on a fleet, with its faults.
type Pattern struct {
	// About says what the pattern stands for.
	About string `yaml:"about"`
	// Length is for how long requests come.
	Length config.Duration `yaml:"length"`
	// Hosts of all data centres together, spread evenly.
	Hosts       int       `yaml:"hosts"`
	DataCentres int       `yaml:"data_centres"`
	Network     Network   `yaml:"network"`
	Retry       Retry     `yaml:"retry"`
	Services    []Service `yaml:"services"`
	Routes      []Route   `yaml:"routes"`
	Bursts      []Burst   `yaml:"bursts"`
	// Restarts are times at which hosts are killed and start again.
	Restarts []Restart `yaml:"restarts"`
}

// Restart kills a share of the hosts, all at once or one after the other. A host that starts again
// has kept nothing.
type Restart struct {
	At    config.Duration `yaml:"at"`
	Share float64         `yaml:"share"` // of the hosts
	// Down is how long each host is down.
	Down config.Duration `yaml:"down"`
	// Gap is the time between two hosts, 0 for all at once.
	Gap config.Duration `yaml:"gap"`
}

// Network is what messages between hosts meet, and requests on their way.
type Network struct {
	// Near is one way within a data centre, Far between two.
	Near config.Duration `yaml:"near"`
	Far  config.Duration `yaml:"far"`
	// Loss is the share of messages between hosts that are lost.
	Loss float64 `yaml:"loss"`
	// Idle connections of hosts to servers break.
	Idle Idle `yaml:"idle"`
	// Cut hosts serve callers and reach servers, but neither hear of other hosts nor
	// are heard.
	Cut Cut `yaml:"cut"`
	// Paths of hosts to servers are lost, while hosts hear each other.
	Paths Paths `yaml:"paths"`
}

// Paths is a time in which some hosts do not reach some servers: what is sent on an open
// connection gets no answer, and new connections cannot be made.
type Paths struct {
	From config.Duration `yaml:"from"`
	For  config.Duration `yaml:"for"`
	// Hosts and Servers are the shares of the hosts and of the servers concerned.
	Hosts   float64 `yaml:"hosts"`
	Servers float64 `yaml:"servers"`
	// WholeDataCentre concerns all hosts of the first data centre and no others, instead of Hosts.
	WholeDataCentre bool `yaml:"whole_data_centre"`
}

// Idle is a time in which connections that a host has not used for After are closed: what it
// sends next there does not leave.
type Idle struct {
	From  config.Duration `yaml:"from"`
	For   config.Duration `yaml:"for"`
	After config.Duration `yaml:"after"`
}

// Cut is a time in which some hosts hear of no other.
type Cut struct {
	From  config.Duration `yaml:"from"`
	For   config.Duration `yaml:"for"`
	Share float64         `yaml:"share"` // of the hosts
}

// Retry is the fleet's retry allowance.
type Retry struct {
	Share   float64         `yaml:"share"`
	Reserve float64         `yaml:"reserve"`
	Window  config.Duration `yaml:"window"`
}

// Service is a set of like backend servers.
type Service struct {
	Name string `yaml:"name"`
	// Servers is how many there are in each data centre.
	Servers []int `yaml:"servers"`
	// Slots is how many requests a server works on at a time, Queue how many more
	// it takes.
	Slots int `yaml:"slots"`
	Queue int `yaml:"queue"`
	// Rest is what a server asks for that refuses for lack of room.
	Rest config.Duration `yaml:"rest"`
	// Restart is how long a server is down that a request has ended.
	Restart config.Duration `yaml:"restart"`
	// Spells come to each server by itself.
	Spells Spells `yaml:"spells"`
	// Faults come to a share of the servers at a set time.
	Faults []Fault `yaml:"faults"`
}

// Kinds of trouble of a server.
const (
	KindErrors = "errors" // an error at once
	KindHang   = "hang"   // no answer until the request is given up
	KindShed   = "shed"   // refused, not run
	KindSlow   = "slow"   // work takes Factor times as long
	// KindLeaving says with each answer, from the fault's start on, that it is leaving.
	KindLeaving = "leaving"
	// KindLimit names with each answer, while the fault lasts, the limit of PerSecond.
	KindLimit = "limit"
)

// Spells of failures that a server has from time to time.
type Spells struct {
	// Share of the time is spent in spells, which last Mean on average.
	Share float64         `yaml:"share"`
	Mean  config.Duration `yaml:"mean"`
	// Fixed makes each spell last Mean exactly, instead of exponentially distributed lengths.
	Fixed bool `yaml:"fixed"`
	// Fails is the share of requests that meet Kind in a spell.
	Fails float64 `yaml:"fails"`
	Kind  string  `yaml:"kind"`
}

// Fault is trouble at a set time.
type Fault struct {
	From   config.Duration `yaml:"from"`
	For    config.Duration `yaml:"for"`
	Share  float64         `yaml:"share"` // of the servers
	Fails  float64         `yaml:"fails"`
	Kind   string          `yaml:"kind"`
	Factor float64         `yaml:"factor"` // of KindSlow
	// Rest is what KindShed asks for with each refusal.
	Rest config.Duration `yaml:"rest"`
	// PerSecond is the rate limit of KindLimit, in requests a second from all hosts.
	PerSecond float64 `yaml:"per_second"`
}

// Route is a kind of request.
type Route struct {
	Name       string          `yaml:"name"`
	Service    string          `yaml:"service"`
	Idempotent bool            `yaml:"idempotent"`
	Rate       float64         `yaml:"rate"` // a second
	Work       Work            `yaml:"work"`
	Objective  config.Duration `yaml:"objective"`
	Timeout    config.Duration `yaml:"timeout"`
	Attempts   int             `yaml:"attempts"`
	Priority   int             `yaml:"priority"`
	// Customer sends the route's requests, none if empty, and has a Limit of requests a second.
	Customer string  `yaml:"customer"`
	Limit    float64 `yaml:"limit"`
	// OwnErrors is the share of requests that fail by themselves, after their work.
	OwnErrors float64 `yaml:"own_errors"`
	// Returns is how often a refused caller comes back, when it is told to and within
	// its timeout; its objective counts from its first try.
	Returns int `yaml:"returns"`
	// Ends are those of its requests that end the servers which run them.
	Ends Ends `yaml:"ends"`
}

// Ends are requests that end the servers which run them.
type Ends struct {
	From     config.Duration `yaml:"from"`
	For      config.Duration `yaml:"for"`
	Share    float64         `yaml:"share"`    // of the route's requests
	Contents int             `yaml:"contents"` // how many different ones there are
}

// Work is the distribution of a request's work: log-normal, with a tail.
type Work struct {
	Mean       config.Duration `yaml:"mean"`
	Spread     float64         `yaml:"spread"` // of the logarithm
	Tail       float64         `yaml:"tail"`   // share of requests
	TailFactor float64         `yaml:"tail_factor"`
}

// Burst multiplies the rate of all routes, or of one.
type Burst struct {
	From   config.Duration `yaml:"from"`
	For    config.Duration `yaml:"for"`
	Factor float64         `yaml:"factor"`
	Route  string          `yaml:"route"`
}

// Load reads one of the project's own patterns by name, or else a file.
func Load(name string) (*Pattern, error) {
	content, err := patterns.ReadFile("patterns/" + name + ".yaml")
	if err != nil {
		content, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.KindConfig, "no such pattern", "name a pattern of experiment/replay/patterns or a file")
	}
	return Parse(content)
}

// Parse reads and checks a pattern.
func Parse(content []byte) (*Pattern, error) {
	p := &Pattern{}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(p); err != nil {
		return nil, errs.Wrap(err, errs.KindConfig, "the pattern does not parse", "see experiment/replay/patterns for examples")
	}
	return p, p.check()
}

func (p *Pattern) check() error {
	names := make(map[string]bool)
	for _, s := range p.Services {
		names[s.Name] = true
		if len(s.Servers) != p.DataCentres || s.Slots < 1 {
			return bad("service "+s.Name, "give `servers` a number for each data centre, and `slots` of 1 or more")
		}
		if s.Spells.Share > 0 && (s.Spells.Share >= 1 || s.Spells.Mean <= 0 || !isKind(s.Spells.Kind)) {
			return bad("spells of service "+s.Name, "give `share` below 1, `mean` above 0 and `kind` of errors, hang, shed or slow")
		}
		for _, f := range s.Faults {
			if !isKind(f.Kind) || f.Share < 0 || f.Share > 1 || f.Kind == KindSlow && f.Factor < 1 {
				return bad("faults of service "+s.Name, "give `kind` of errors, hang, shed or slow, `share` from 0 to 1, and `factor` of 1 or more for slow")
			}
		}
	}
	for _, r := range p.Routes {
		if !names[r.Service] {
			return bad("route "+r.Name, "name a service of the pattern in `service`")
		}
		if r.Ends.Share > 0 && r.Ends.Contents < 1 {
			return bad("route "+r.Name, "give `ends.contents` of 1 or more")
		}
		if r.Rate <= 0 || r.Work.Mean <= 0 || r.Timeout <= 0 || r.Objective <= 0 {
			return bad("route "+r.Name, "give `rate`, `work.mean`, `objective` and `timeout` above 0")
		}
	}
	if p.Hosts < p.DataCentres || p.DataCentres < 1 || p.Length <= 0 || len(p.Routes) == 0 {
		return bad("pattern", "give `length`, `routes`, `data_centres` of 1 or more and at least as many `hosts`")
	}
	return nil
}

func bad(what, remedy string) error {
	return errs.New(errs.KindConfig, what+" cannot be played", remedy)
}

func isKind(kind string) bool {
	switch kind {
	case KindErrors, KindHang, KindShed, KindSlow, KindLeaving, KindLimit:
		return true
	default:
		return false
	}
}

// endsServers reports whether any request ends the servers that run it.
func (p *Pattern) endsServers() bool {
	return slices.ContainsFunc(p.Routes, func(r Route) bool { return r.Ends.Share > 0 })
}

// factor is what a route's rate is multiplied by at a time.
func (p *Pattern) factor(route string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		if (b.Route == "" || b.Route == route) && at >= time.Duration(b.From) && at < time.Duration(b.From+b.For) {
			factor *= b.Factor
		}
	}
	return factor
}

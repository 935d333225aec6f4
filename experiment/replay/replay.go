package replay

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Config of a replay.
type Config struct {
	Seed uint64
	// Without leaves mechanisms of the policy out.
	Without []policy.Mechanism
}

// fleet is all that takes part in a replay.
type fleet struct {
	pattern *Pattern
	seed    uint64
	clock   *clock
	random  *rand.Rand
	hosts   []*host
	servers map[string]*server
	views   map[string]*world.ServiceView
	result  *Result
}

// Run plays a pattern once. The same pattern and configuration give the same result.
func Run(pattern *Pattern, conf Config) *Result {
	f := &fleet{
		pattern: pattern,
		seed:    conf.Seed,
		clock:   &clock{},
		random:  rand.New(rand.NewPCG(conf.Seed, 1)),
		servers: make(map[string]*server),
		views:   make(map[string]*world.ServiceView),
		result:  newResult(pattern),
	}
	f.addServers()
	f.addHosts(conf)
	for i := range pattern.Routes {
		random := rand.New(rand.NewPCG(conf.Seed, uint64(i)+100))
		f.arrive(&pattern.Routes[i], random, func(route *Route) { f.hosts[random.IntN(len(f.hosts))].serve(route) })
	}
	f.clock.run(time.Duration(pattern.Length) + settle)
	return f.result
}

// settle is how long the last requests may take.
const settle = 10 * time.Second

func (f *fleet) addServers() {
	for i := range f.pattern.Services {
		service := &f.pattern.Services[i]
		view := &world.ServiceView{}
		for _, s := range f.serversOf(service) {
			view.Backends = append(view.Backends, backendView(s))
		}
		f.views[service.Name] = view
	}
}

// serversOf makes the servers of a service.
func (f *fleet) serversOf(service *Service) []*server {
	var all []*server
	for dataCentre, n := range service.Servers {
		for number := range n {
			random := rand.New(rand.NewPCG(f.seed, uint64(len(f.servers))+10_000))
			s := newServer(service, dataCentre, number, f.clock, random)
			f.servers[s.id] = s
			all = append(all, s)
		}
	}
	return all
}

func (f *fleet) addHosts(conf Config) {
	settings := policy.Config{
		Cost: policy.DefaultCostRule(),
		Retry: policy.RetryRule{
			Share:   f.pattern.Retry.Share,
			Reserve: f.pattern.Retry.Reserve,
			Window:  time.Duration(f.pattern.Retry.Window),
		},
		Without: conf.Without,
	}
	for n := range f.pattern.Hosts {
		h := newHost(f, n, settings)
		f.hosts = append(f.hosts, h)
		h.refresh()
	}
}

// arrive calls take for each request of a route, at random times.
func (f *fleet) arrive(route *Route, random *rand.Rand, take func(*Route)) {
	var next func()
	wait := func() {
		rate := route.Rate * f.pattern.factor(route.Name, f.clock.now)
		gap := distuv.Exponential{Rate: rate, Src: random}.Rand()
		f.clock.after(time.Duration(gap*float64(time.Second)), next)
	}
	next = func() {
		if f.clock.now >= time.Duration(f.pattern.Length) {
			return
		}
		take(route)
		wait()
	}
	wait()
}

// anyHost is the host that a caller comes to.
func (f *fleet) anyHost() *host { return f.hosts[f.random.IntN(len(f.hosts))] }

// delay is one way between two data centres.
func (f *fleet) delay(a, b int) time.Duration {
	if a == b {
		return time.Duration(f.pattern.Network.Near)
	}
	return time.Duration(f.pattern.Network.Far)
}

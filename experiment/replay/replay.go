package replay

import (
	"cmp"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/pearshelf/pearshelf/experiment/simtime"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/sharing"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Config of a replay.
type Config struct {
	Seed uint64
	// Without leaves mechanisms of the policy out.
	Without []policy.Mechanism
	// Sharing is how wide subsets are, the daemon's own rule if zero.
	Sharing sharing.Rule
	// Limits is how rate limits of servers are kept, LimitsByHome if empty.
	Limits LimitWay
	// WithoutQuarantine leaves out the quarantine of requests that end servers.
	WithoutQuarantine bool
}

// fleet is all that takes part in a replay.
type fleet struct {
	pattern *Pattern
	seed    uint64
	sharing sharing.Rule
	clock   *simtime.Clock
	random  *rand.Rand
	hosts   []*host
	byName  map[string]*host
	servers map[string]*server
	views   map[string]*world.ServiceView
	sent    map[string]*spending // by service
	said    *saidCheck
	limits  limitChecks
	// limitWay is how hosts keep to servers' rate limits.
	limitWay          LimitWay
	withoutQuarantine bool
	result            *Result
}

// Run plays a pattern once. The same pattern and configuration give the same result.
func Run(pattern *Pattern, conf Config) *Result {
	if conf.Sharing == (sharing.Rule{}) {
		conf.Sharing = sharing.DefaultRule()
	}
	f := &fleet{
		sharing: conf.Sharing,
		pattern: pattern,
		seed:    conf.Seed,
		clock:   &simtime.Clock{},
		random:  rand.New(rand.NewPCG(conf.Seed, 1)),
		servers: make(map[string]*server),
		sent:    make(map[string]*spending),
		byName:  make(map[string]*host),
		views:   make(map[string]*world.ServiceView),
		said:    &saidCheck{states: make(map[saidKey]*saidState)},
		limits:  make(limitChecks),

		limitWay:          cmp.Or(conf.Limits, LimitsByHome),
		withoutQuarantine: conf.WithoutQuarantine,
		result:            newResult(pattern),
	}
	f.addServers()
	f.addHosts(conf)
	for i := range pattern.Routes {
		random := rand.New(rand.NewPCG(conf.Seed, uint64(i)+100))
		f.arrive(&pattern.Routes[i], random, func(route *Route) {
			if h := f.liveHost(random.IntN(len(f.hosts))); h != nil {
				h.serve(route)
			}
		})
	}
	f.disturbPaths()
	f.restartHosts()
	f.lookOn(soundAfter + useWindow)
	f.clock.Run(time.Duration(pattern.Length) + settle)
	for _, s := range f.sent {
		f.result.AllowanceSpent = max(f.result.AllowanceSpent, s.most(pattern.Retry))
	}
	f.result.Limits = f.limits.use()
	f.result.AfterLeaving, f.result.InRest, f.result.OverRest = f.said.afterLeaving, f.said.inRest, f.said.overRest
	return f.result
}

// lookOn looks at the servers in use, from a moment on, while requests come.
func (f *fleet) lookOn(from time.Duration) {
	for at := from; at < time.Duration(f.pattern.Length); at += lookEvery {
		f.clock.After(at, func() { f.result.look(f.clock.Now, f.servers) })
	}
}

// settle is how long the last requests may take.
const settle = 10 * time.Second

func (f *fleet) addServers() {
	for i := range f.pattern.Services {
		service := &f.pattern.Services[i]
		view := &world.ServiceView{}
		dataCentres := make(map[string]string)
		for _, s := range f.serversOf(service) {
			view.Backends = append(view.Backends, backendView(s))
			dataCentres[s.id] = dataCentreName(s.dataCentre)
		}
		view.Sharing = sharing.NewService(dataCentres)
		for _, r := range f.pattern.Routes {
			if objective := time.Duration(r.Objective); r.Service == service.Name {
				view.LongestObjective = max(view.LongestObjective, objective)
				if view.ShortestObjective == 0 || objective < view.ShortestObjective {
					view.ShortestObjective = objective
				}
			}
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
			s.losesPath = f.losesPath(pathStreamServers+uint64(len(f.servers)), f.pattern.Network.Paths.Servers)
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
		f.byName[h.name] = h
		h.refresh()
	}
	for _, h := range f.hosts {
		h.join()
		h.limits.join()
		h.guard.join()
		h.registers.join()
	}
}

// arrive calls take for each request of a route, at random times.
func (f *fleet) arrive(route *Route, random *rand.Rand, take func(*Route)) {
	var next func()
	wait := func() {
		rate := route.Rate * f.pattern.factor(route.Name, f.clock.Now)
		gap := distuv.Exponential{Rate: rate, Src: random}.Rand()
		f.clock.After(time.Duration(gap*float64(time.Second)), next)
	}
	next = func() {
		if f.clock.Now >= time.Duration(f.pattern.Length) {
			return
		}
		take(route)
		wait()
	}
	wait()
}

func (f *fleet) spent(service string) *spending {
	s, ok := f.sent[service]
	if !ok {
		s = &spending{}
		f.sent[service] = s
	}
	return s
}

// serviceOf is the service of a server.
func (f *fleet) serviceOf(server string) string { return f.servers[server].service.Name }

// timeAt is a moment of the run as hosts have it.
func (f *fleet) timeAt(at time.Duration) time.Time { return simtime.Epoch.Add(at) }

// sharedService is a service's servers on their rings.
func (f *fleet) sharedService(name string) *sharing.Service { return f.views[name].Sharing }

// anyHost is the host that a caller comes to, nil if all are down.
func (f *fleet) anyHost() *host { return f.liveHost(f.random.IntN(len(f.hosts))) }

// stream is a source of random numbers of its own.
func (f *fleet) stream(number uint64) *rand.Rand { return rand.New(rand.NewPCG(f.seed, number)) }

// delay is one way between two data centres.
func (f *fleet) delay(a, b int) time.Duration {
	if a == b {
		return time.Duration(f.pattern.Network.Near)
	}
	return time.Duration(f.pattern.Network.Far)
}

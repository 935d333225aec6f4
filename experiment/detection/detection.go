// Package detection measures detection time and false ejections of the real
// detection and rotation systems under a moved clock: six hosts, of which three
// own one service and three stand by, exchange evidence and votes in memory, one tick late, and a stream of
// random requests meets backend servers with planted faults.
package detection

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/system/detection"
	"github.com/pearshelf/pearshelf/internal/system/placement"
	"github.com/pearshelf/pearshelf/internal/system/rotation"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	tick        = 100 * time.Millisecond
	healthyBad  = 0.005
	serviceTime = 25 * time.Millisecond
	probePath   = "/probe"
	serviceName = "s"
)

var epoch = time.Unix(1_700_000_000, 0)

// Fault is what is wrong with a backend server.
type Fault struct {
	// ErrorRate is the share of failing requests, wrong answers included.
	ErrorRate float64
	// Slow multiplies the service time, 0 for 1.
	Slow float64
	// FlapEvery turns the fault on and off with this period, 0 for steady.
	FlapEvery time.Duration
}

// Config of a Run.
type Config struct {
	Detection config.Detection
	// Servers and Rate, requests a second for each server over all hosts.
	Servers int
	Rate    float64
	// Fault on server 0 from the start of the fault phase.
	Fault Fault
	// All gives every server the fault.
	All bool
	// BadHost makes one host see every request fail, by its own network.
	BadHost bool
	// BadPath makes one host see every request to server 0 fail.
	BadPath bool
	// Warm is the healthy time before the fault, Length the time with it.
	Warm, Length time.Duration
	// Floor of the service.
	Floor int
	Seed  uint64
}

// Result of a Run; times are from the start of the fault, negative for never.
type Result struct {
	// Suspect is when the first host preferred other servers.
	Suspect time.Duration
	// Ejected is when the last host had taken the server out.
	Ejected time.Duration
	// False counts ejections of healthy servers.
	False int
	// Sent is how many requests the faulty server got during the fault.
	Sent int
	// Returns counts returns to rotation during the fault.
	Returns int
}

const never = -1 * time.Second

type owner struct {
	w      *world.World
	system *detection.System
	inbox  []func(now time.Time)
}

func (o *owner) service() *world.Service { return o.w.Services[serviceName] }

type run struct {
	conf   Config
	rng    *rand.Rand
	owners map[string]*owner
	names  []string
	now    time.Time
	faulty bool
	result Result
	wasOut map[string]bool
	bad    int // the host with the bad path, an active owner
}

// Run makes one run.
func Run(conf Config) Result {
	r := &run{
		conf:   conf,
		rng:    rand.New(rand.NewPCG(conf.Seed, 1)),
		owners: make(map[string]*owner),
		now:    epoch,
		result: Result{Suspect: never, Ejected: never},
		wasOut: make(map[string]bool),
	}
	r.setUp()
	for elapsed := time.Duration(0); elapsed < conf.Warm+conf.Length; elapsed += tick {
		r.faulty = elapsed >= conf.Warm
		r.step(elapsed - conf.Warm)
	}
	return r.result
}

func (r *run) setUp() {
	for i := range 6 {
		name := fmt.Sprintf("h%d", i)
		r.names = append(r.names, name)
	}
	for i, name := range r.names {
		w := world.New(world.Identity{Host: name, DataCentre: dataCentre(i)}, &hlc.Clock{}, epoch)
		for j, other := range r.names {
			w.Hosts[other] = &world.Host{Name: other, Address: other, DataCentre: dataCentre(j)}
		}
		w.Services[serviceName] = r.newService()
		w.HostsChanged = true
		placement.System{}.Run(w, epoch)
		rotation.System{}.Run(w, epoch)
		r.owners[name] = &owner{w: w, system: detection.New()}
	}
	r.bad = slices.Index(r.names, r.owners[r.names[0]].service().Active()[0])
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%3) }

func (r *run) newService() *world.Service {
	conf := &config.Service{Name: serviceName, Floor: r.conf.Floor, Detection: r.conf.Detection, Probe: config.Probe{Path: probePath}}
	svc := &world.Service{Config: conf, Dirty: true}
	for i := range r.conf.Servers {
		svc.Backends = append(svc.Backends, &world.BackendServer{
			Config: config.Backend{ID: serverID(i), Address: serverID(i), Slots: 3},
			Since:  epoch,
		})
	}
	return svc
}

func serverID(i int) string { return fmt.Sprintf("b%02d", i) }

// step moves the clock by one tick.
func (r *run) step(sinceFault time.Duration) {
	r.now = r.now.Add(tick)
	r.requests(sinceFault)
	for _, name := range r.names {
		o := r.owners[name]
		inbox := o.inbox
		o.inbox = nil
		for _, input := range inbox {
			input(r.now)
		}
		o.system.Run(o.w, r.now)
		rotation.System{}.Run(o.w, r.now)
		r.deliver(o, sinceFault)
	}
	r.measure(sinceFault)
}

// requests plays one tick's requests: each host picks a server in rotation.
func (r *run) requests(sinceFault time.Duration) {
	mean := r.conf.Rate * float64(r.conf.Servers) * tick.Seconds()
	for range poisson(r.rng, mean) {
		active := r.owners[r.names[0]].service().Active()
		name := active[r.rng.IntN(len(active))]
		i := slices.Index(r.names, name)
		o := r.owners[name]
		b := r.pick(o.service())
		if b == nil {
			continue
		}
		if r.faulty && b.Config.ID == serverID(0) {
			r.result.Sent++
		}
		o.system.Observe(o.w, r.now, []*peerpb.Observation{r.outcome(b.Config.ID, i, sinceFault)})
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}

func (r *run) pick(svc *world.Service) *world.BackendServer {
	for range 3 * len(svc.Backends) {
		b := svc.Backends[r.rng.IntN(len(svc.Backends))]
		if b.Rotation.In && r.rng.Float64() < b.Rotation.Weight {
			return b
		}
	}
	return nil
}

func (r *run) outcome(id string, host int, sinceFault time.Duration) *peerpb.Observation {
	errorRate, slow := r.faultOf(id, sinceFault)
	badPath := r.conf.BadHost || r.conf.BadPath && id == serverID(0)
	if badPath && r.faulty && host == r.bad {
		errorRate = 1
	}
	latency := time.Duration(r.rng.ExpFloat64() * float64(serviceTime) * slow)
	kind := peerpb.Observation_KIND_GOOD
	if r.rng.Float64() < errorRate {
		kind = peerpb.Observation_KIND_FAILED
	}
	return &peerpb.Observation{
		Service: serviceName, Backend: id, Kind: kind, Idempotent: true,
		FirstByteUs: uint64(latency.Microseconds()),
	}
}

func (r *run) faultOf(id string, sinceFault time.Duration) (errorRate, slow float64) {
	f := r.conf.Fault
	on := r.faulty && (r.conf.All || id == serverID(0))
	if on && f.FlapEvery > 0 {
		on = (sinceFault/f.FlapEvery)%2 == 0
	}
	if !on {
		return healthyBad, 1
	}
	return max(f.ErrorRate, healthyBad), max(f.Slow, 1)
}

// deliver hands what a host wants sent to the others, for their next tick.
func (r *run) deliver(o *owner, sinceFault time.Duration) {
	out := o.w.Outbox.Take()
	for _, report := range out.Evidence {
		for _, to := range report.To {
			r.post(to, func(other *owner, now time.Time) { other.system.AddReport(other.w, now, report.Evidence) })
		}
	}
	for _, u := range out.Urgent {
		for _, to := range u.To {
			r.post(to, func(other *owner, now time.Time) {
				if other.w.Registers.Merge(now, u.Register) {
					other.service().Dirty = true
				}
			})
		}
	}
	for _, p := range out.Probes {
		r.probe(o, p, sinceFault)
	}
}

func (r *run) post(to string, input func(o *owner, now time.Time)) {
	o := r.owners[to]
	o.inbox = append(o.inbox, func(now time.Time) { input(o, now) })
}

func (r *run) probe(o *owner, p world.Probe, sinceFault time.Duration) {
	host := slices.Index(r.names, o.w.Self.Host)
	result := r.outcome(p.Backend, host, sinceFault)
	late := time.Duration(result.FirstByteUs)*time.Microsecond > p.Timeout
	good := result.Kind == peerpb.Observation_KIND_GOOD && !late
	result.Kind = peerpb.Observation_KIND_PROBE_FAILED
	if good {
		result.Kind = peerpb.Observation_KIND_PROBE_GOOD
	}
	o.inbox = append(o.inbox, func(now time.Time) {
		o.system.Observe(o.w, now, []*peerpb.Observation{result})
	})
}

// measure notes what the hosts' tables show after a tick.
func (r *run) measure(sinceFault time.Duration) {
	for i := range r.conf.Servers {
		id := serverID(i)
		out, suspect := r.seen(id)
		guilty := i == 0 && r.faulty && !r.conf.All && (r.conf.Fault.ErrorRate > 0 || r.conf.Fault.Slow > 1)
		switch {
		case guilty && suspect && r.result.Suspect < 0:
			r.result.Suspect = sinceFault
		case !guilty && out > 0 && !r.wasOut[id]:
			r.result.False++
		}
		if guilty && out == len(r.names) && r.result.Ejected < 0 {
			r.result.Ejected = sinceFault
		}
		if guilty && r.wasOut[id] && out == 0 {
			r.result.Returns++
		}
		r.wasOut[id] = out > 0
	}
}

// seen returns on how many hosts a server is out, and whether any doubts it.
func (r *run) seen(id string) (out int, suspect bool) {
	for _, name := range r.names {
		b := r.owners[name].service().Backend(id)
		if b.State == world.BackendEjected {
			out++
		}
		suspect = suspect || b.State == world.BackendSuspect || b.State == world.BackendEjected
	}
	return out, suspect
}

// Summary is the spread of a time over many runs.
type Summary struct {
	Median, P99 time.Duration
	// Missed counts the runs in which it never came.
	Missed int
}

// Summarize sorts times and takes their quantiles; missed ones count as
// longest.
func Summarize(times []time.Duration) Summary {
	missed := 0
	for _, t := range times {
		if t < 0 {
			missed++
		}
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(uint64(a), uint64(b)) })
	return Summary{Median: times[len(times)/2], P99: times[len(times)*99/100], Missed: missed}
}

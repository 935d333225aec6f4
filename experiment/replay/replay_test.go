package replay

import (
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/sharing"
)

// seeds are played of each pattern; the verdict is the same each time.
const seeds = 3

// overloadSeeds are played of overload.yaml and spikes.yaml: in overload a run goes its own way after some
// seconds, and of three seeds the unserved shares with and without a mechanism differ by
// some 0.05 by chance (over 16 seeds by 0.001).
const overloadSeeds = 12

// played are the results of patterns by name and what is left out: several tests
// compare with the same one.
var played sync.Map

type summary struct {
	all    RouteResult
	routes map[string]*RouteResult
}

// play adds up some seeds of a pattern, all routes and each one.
func play(t *testing.T, name string, without ...policy.Mechanism) (all RouteResult, routes map[string]*RouteResult) {
	t.Helper()
	return playOver(t, seeds, name, without...)
}

// playOver is play over a number of seeds.
func playOver(t *testing.T, count int, name string, without ...policy.Mechanism) (all RouteResult, routes map[string]*RouteResult) {
	t.Helper()
	once, _ := played.LoadOrStore(fmt.Sprint(name, count, without), sync.OnceValues(func() (*summary, error) {
		return playSeeds(name, count, without)
	}))
	sum, err := once.(func() (*summary, error))()
	if err != nil {
		t.Fatal(err)
	}
	return sum.all, sum.routes
}

// sumSeeds plays a pattern by the seeds from 1 on, and adds what they gave.
func sumSeeds(name string, count int, conf Config) (*Pattern, *Result, error) {
	pattern, err := Load(name)
	if err != nil {
		return nil, nil, err
	}
	sum := newResult(pattern)
	for seed := range uint64(count) {
		conf.Seed = seed + 1
		sum.add(Run(pattern, conf))
	}
	return pattern, sum, nil
}

func playSeeds(name string, count int, without []policy.Mechanism) (*summary, error) {
	_, sum, err := sumSeeds(name, count, Config{Without: without})
	if err != nil {
		return nil, err
	}
	s := &summary{all: sum.Total(), routes: make(map[string]*RouteResult)}
	for _, route := range sum.Routes {
		s.routes[route.Route] = route
	}
	return s, nil
}

// Idempotent requests that hang at their first server are served by a copy.
func TestSecondCopies(t *testing.T) {
	t.Parallel()
	_, with := play(t, "hangs")
	_, without := play(t, "hangs", policy.MechanismCopies)
	for _, route := range []string{"lookup", "download"} {
		got, before := with[route].Unserved(), without[route].Unserved()
		if got > 0.6*before {
			t.Errorf("%s: %.3f unserved with copies, %.3f without", route, got, before)
		}
		if sent := float64(with[route].Copies) / float64(with[route].Asked); sent > 0.2 {
			t.Errorf("%s: copies of %.2f of the requests, more than the retry allowance", route, sent)
		}
	}
}

// While more comes than the servers can carry, refusing keeps answers in time; a
// spike that is gone again soon is served nearly as without.
func TestStandingQueue(t *testing.T) {
	t.Parallel()
	with, _ := playOver(t, overloadSeeds, "overload")
	without, _ := playOver(t, overloadSeeds, "overload", policy.MechanismStandingQueue)
	if with.Goodput() < 1.02*without.Goodput() || with.Unserved() > 1.05*without.Unserved() {
		t.Errorf("overload: goodput %.3f and %.3f unserved, without refusing %.3f and %.3f",
			with.Goodput(), with.Unserved(), without.Goodput(), without.Unserved())
	}
	if with.HeldInVain > without.HeldInVain*9/10 {
		t.Errorf("overload: requests held in vain for %s, without refusing %s", with.HeldInVain, without.HeldInVain)
	}
	with, _ = playOver(t, overloadSeeds, "spikes")
	without, _ = playOver(t, overloadSeeds, "spikes", policy.MechanismStandingQueue)
	if with.Goodput() < 0.99*without.Goodput() || with.Unserved() > 1.1*without.Unserved() {
		t.Errorf("spikes: goodput %.3f and %.3f unserved, without refusing %.3f and %.3f",
			with.Goodput(), with.Unserved(), without.Goodput(), without.Unserved())
	}
	if calm, _ := play(t, "hangs"); calm.Refused > calm.Asked/1000 {
		t.Errorf("%d requests refused without overload", calm.Refused)
	}
}

// In overload the less urgent kind makes room, and is still served.
func TestPriorities(t *testing.T) {
	t.Parallel()
	_, routes := play(t, "priorities")
	urgent, other := routes["booking"], routes["export"]
	if urgent.Goodput() < other.Goodput() || urgent.Unserved() > other.Unserved() {
		t.Errorf("the more urgent kind has goodput %.3f and %.3f unserved, the other %.3f and %.3f",
			urgent.Goodput(), urgent.Unserved(), other.Goodput(), other.Unserved())
	}
	if other.Goodput() < 0.5 {
		t.Errorf("the less urgent kind starves: goodput %.3f", other.Goodput())
	}
}

// What hosts learn guides the others.
func TestSharing(t *testing.T) {
	t.Parallel()
	with, _ := play(t, "hangs")
	for mechanism, atLeast := range map[policy.Mechanism]float64{
		policy.MechanismFailureModel:   2,
		policy.MechanismSharedOutcomes: 1.4,
		policy.MechanismSharedLoads:    1.4,
	} {
		without, _ := play(t, "hangs", mechanism)
		if without.Unserved() < atLeast*with.Unserved() {
			t.Errorf("without %s %.3f unserved, with it %.3f", mechanism, without.Unserved(), with.Unserved())
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	pattern, err := Load("overload")
	if err != nil {
		t.Fatal(err)
	}
	first, second := Run(pattern, Config{Seed: 7}), Run(pattern, Config{Seed: 7})
	if !reflect.DeepEqual(first.Seconds, second.Seconds) {
		t.Error("two runs of one seed differ")
	}
	if other := Run(pattern, Config{Seed: 8}); reflect.DeepEqual(first.Seconds, other.Seconds) {
		t.Error("two seeds give the same run")
	}
}

func TestBadPatternsNameTheRemedy(t *testing.T) {
	for text, remedy := range map[string]string{
		"hosts: many": "experiment/replay/patterns",
		"hots: 3":     "experiment/replay/patterns",
		"hosts: 3\ndata_centres: 1\nlength: 1s\nservices: [{name: s, servers: [1, 2], slots: 1}]":                                                               "`servers`",
		"hosts: 3\ndata_centres: 1\nlength: 1s\nservices: [{name: s, servers: [1], slots: 1, spells: {share: 0.5, mean: 1s, kind: odd}}]":                       "`kind`",
		"hosts: 3\ndata_centres: 1\nlength: 1s\nservices: [{name: s, servers: [1], slots: 1}]\nroutes: [{name: r, service: x}]":                                 "`service`",
		"hosts: 3\ndata_centres: 1\nlength: 1s\nservices: [{name: s, servers: [1], slots: 1}]\nroutes: [{name: r, service: s, rate: 1}]":                        "`work.mean`",
		"data_centres: 1\nlength: 1s\nservices: [{name: s, servers: [1], slots: 1}]\nroutes: [{name: r, service: s, rate: 1, work: {mean: 1s}, objective: 1s}]": "`timeout`",
	} {
		_, err := Parse([]byte(text))
		if errs.KindOf(err) != errs.KindConfig || !strings.Contains(err.Error(), remedy) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Subsets serve as well as if all hosts shared all servers, at a part of the messages, and
// load no server more.
func TestSubsets(t *testing.T) {
	t.Parallel()
	pattern, err := Load("grown")
	if err != nil {
		t.Fatal(err)
	}
	everyone := sharing.Rule{Hosts: pattern.Hosts, Servers: 1}
	subsets, all := Run(pattern, Config{Seed: 1}), Run(pattern, Config{Seed: 1, Sharing: everyone})
	got, before := subsets.Total(), all.Total()
	// What is unserved differs by a tenth from one seed of this pattern to the next.
	if got.Goodput() < before.Goodput()-0.005 || got.Unserved() > 1.2*before.Unserved() {
		t.Errorf("goodput %.4f and %.4f unserved, with everyone %.4f and %.4f", got.Goodput(), got.Unserved(), before.Goodput(), before.Unserved())
	}
	if subsets.Messages > all.Messages/2 {
		t.Errorf("%d messages, with everyone %d", subsets.Messages, all.Messages)
	}
	if subsets.busiest() > 1.1*all.busiest() {
		t.Errorf("the busiest server gets %.2f times the mean, with everyone %.2f", subsets.busiest(), all.busiest())
	}
}

// What a host tells others for a request does not grow with the hosts, and hosts that use
// few servers find room at others in a burst and while many servers turn requests away.
func TestHundredsOfHosts(t *testing.T) {
	t.Parallel()
	perRequest := func(name string) (float64, RouteResult) {
		pattern, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		result := Run(pattern, Config{Seed: 1})
		all := result.Total()
		return float64(result.Messages) / float64(all.Asked), all
	}
	small, _ := perRequest("grown")
	large, burst := perRequest("large-burst")
	if large > 1.5*small {
		t.Errorf("%.1f messages a request in 440 hosts, %.1f in 105", large, small)
	}
	if burst.Goodput() < 0.94 || burst.Unserved() > 0.05 {
		t.Errorf("goodput %.4f, %.4f unserved", burst.Goodput(), burst.Unserved())
	}
}

// What all hosts together send again stays within the allowance, also while a third of
// them hears no other and one in fifty messages is lost.
func TestAllowanceHolds(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"sheds", "large-sheds"} {
		pattern, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		pattern.Network.Loss = 0.02
		pattern.Network.Cut = Cut{From: pattern.Length / 3, For: pattern.Length / 3, Share: 0.35}
		if spent := Run(pattern, Config{Seed: 1}).AllowanceSpent; spent > 1 {
			t.Errorf("%s: %.2f of the allowance was spent", name, spent)
		}
	}
}

// busiest is the most that a server was sent, against the mean of its service.
func (r *Result) busiest() float64 {
	sum, count := make(map[string]int), make(map[string]int)
	service := func(server string) string { return strings.SplitN(server, "-", 2)[0] }
	for server, n := range r.Runs {
		sum[service(server)] += n
		count[service(server)]++
	}
	most := 0.0
	for server, n := range r.Runs {
		mean := float64(sum[service(server)]) / float64(count[service(server)])
		most = max(most, float64(n)/mean)
	}
	return most
}

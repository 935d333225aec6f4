package rotation_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/directive"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/system/rotation"
	"github.com/pearshelf/pearshelf/internal/verdict"
	"github.com/pearshelf/pearshelf/internal/world"
)

var epoch = time.Unix(1_700_000_000, 0)

// newWorld returns a world with one service of n servers.
func newWorld(n, floor int) (*world.World, *world.Service) {
	w := world.New(world.Identity{Host: "h1", DataCentre: "dc1"}, &hlc.Clock{}, epoch)
	svc := &world.Service{
		Config:   &config.Service{Name: "s", Floor: floor},
		Watchers: []string{"h1", "h2", "h3"},
		Dirty:    true,
	}
	for i := range n {
		svc.Backends = append(svc.Backends, &world.BackendServer{
			Config: config.Backend{ID: fmt.Sprintf("b%02d", i), Slots: 3},
			Since:  epoch,
		})
	}
	w.Services["s"] = svc
	return w, svc
}

// counts returns how many servers are in rotation, how many of these take
// non-idempotent requests, and how many the platform marks as leaving.
func counts(svc *world.Service) (in, open, leaving int) {
	for _, b := range svc.Backends {
		if b.Rotation.In {
			in++
		}
		if b.Rotation.In && !b.Rotation.IdempotentOnly {
			open++
		}
		if b.Config.Leaving {
			leaving++
		}
	}
	return in, open, leaving
}

// applyRandomEvent applies one random event to the service.
func applyRandomEvent(t *rapid.T, w *world.World, svc *world.Service, now time.Time) {
	b := rapid.SampledFrom(svc.Backends).Draw(t, "server")
	on := rapid.Bool().Draw(t, "on")
	switch rapid.SampledFrom([]string{"vote", "drain", "leaving", "path", "suspect", "floor"}).Draw(t, "event") {
	case "vote":
		w.Self.Host = rapid.SampledFrom(svc.Watchers).Draw(t, "watcher")
		if on {
			verdict.Cast(w, now, svc, b)
		} else {
			verdict.Withdraw(w, now, svc, b)
		}
	case "drain":
		r, err := directive.New(&peerpb.Directive{Kind: directive.KindDrain, Target: "s/" + b.Config.ID})
		if err != nil {
			t.Fatal(err)
		}
		r.Deleted = !on
		w.Write(now, r)
	case "leaving":
		b.Config.Leaving = on
	case "path":
		b.Detection.PathFault = on
	case "suspect":
		b.Detection.Relative = rapid.Float64Range(0, 40).Draw(t, "score")
		if b.State == world.BackendHealthy && on {
			b.State = world.BackendSuspect
		}
	case "floor":
		setFloor(t, w, svc, now)
	}
	svc.Dirty = true
}

func setFloor(t *rapid.T, w *world.World, svc *world.Service, now time.Time) {
	value := rapid.IntRange(0, len(svc.Backends)).Draw(t, "floor")
	r, err := directive.New(&peerpb.Directive{
		Kind: directive.KindFloor, Target: "s", Value: fmt.Sprint(value), Base: fmt.Sprint(svc.Config.Floor),
	})
	if err != nil {
		t.Fatal(err)
	}
	w.Write(now, r)
}

// Under any combination of ejections, path faults, drains and leaving servers,
// the number of servers in rotation, and of those that accept non-idempotent
// requests, does not fall below the floor or, if that is less, the number of
// servers that are not leaving.
func TestFloorHoldsUnderAnyCombination(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		w, svc := newWorld(n, rapid.IntRange(0, n).Draw(t, "floor"))
		now := epoch
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			applyRandomEvent(t, w, svc, now)
			rotation.System{}.Run(w, now)
			in, open, leaving := counts(svc)
			want := min(rotation.Floor(w, svc), n-leaving)
			if in < want || open < want {
				t.Fatalf("%d in rotation, %d open to non-idempotent requests, floor %d, %d of %d leaving", in, open, want, leaving, n)
			}
		}
	})
}

// Hosts that hold the same registers compute the same rotation, whatever the
// order in which the registers arrived.
func TestSameRegistersSameRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "servers")
		floor := rapid.IntRange(0, n).Draw(t, "floor")
		w, svc := newWorld(n, floor)
		for range rapid.IntRange(1, 20).Draw(t, "writes") {
			w.Self.Host = rapid.SampledFrom(svc.Watchers).Draw(t, "watcher")
			verdict.Cast(w, epoch, svc, rapid.SampledFrom(svc.Backends).Draw(t, "server"))
		}
		rotation.System{}.Run(w, epoch)
		other, otherSvc := newWorld(n, floor)
		for _, r := range rapid.Permutation(w.Registers.All(epoch)).Draw(t, "order") {
			other.Registers.Merge(epoch, r)
		}
		rotation.System{}.Run(other, epoch)
		for i, b := range svc.Backends {
			if b.Rotation != otherSvc.Backends[i].Rotation {
				t.Fatalf("%s: %+v here, %+v there", b.Config.ID, b.Rotation, otherSvc.Backends[i].Rotation)
			}
		}
	})
}

// A host from which all servers fail keeps half of them in rotation. Guards against a host
// through which a request crashes one server after the other: it recorded a path fault for
// each and refused all requests ("no backend server of shop may take this request") although
// the servers had restarted long before.
func TestPathFaultsKeepHalfOfTheServers(t *testing.T) {
	w, svc := newWorld(6, 0)
	for _, b := range svc.Backends {
		b.Detection.PathFault = true
	}
	rotation.System{}.Run(w, epoch)
	if in, _, _ := counts(svc); in != 3 {
		t.Errorf("%d of 6 servers in rotation, want 3", in)
	}
}

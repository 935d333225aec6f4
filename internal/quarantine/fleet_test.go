package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/register"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// fleet is hosts with their tables, and registers that reach each host that hears.
type fleet struct {
	t       *testing.T
	now     time.Time
	hosts   map[string]*host
	names   []string // of all that have ever run
	version uint64
	clock   uint64
	// lossRate is the share of messages that are lost.
	lossRate float64
	rng      *rand.Rand
	// decisions counts the decisions that were told, sent the bytes of all messages between
	// hosts, and told those of decisions at one host.
	decisions     int
	bytesSent     int
	decisionBytes int
}

type host struct {
	name  string
	table *Table
	store *register.Store
	// partition tells which hosts hear each other.
	partition int
	// connectedSince is when it last started or last began to hear others.
	connectedSince time.Time
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), hosts: make(map[string]*host), rng: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		f.start(fmt.Sprintf("h%03d", i))
	}
	f.syncHosts()
	return f
}

// start adds a host that knows nothing, or replaces one.
func (f *fleet) start(name string) {
	f.hosts[name] = &host{name: name, table: NewTable(name), store: register.NewStore(), connectedSince: f.now}
	if !slices.Contains(f.names, name) {
		f.names = append(f.names, name)
	}
}

// syncHosts lets every host know which others it hears, and compare registers with them.
func (f *fleet) syncHosts() {
	f.version++
	for _, h := range f.hosts {
		var homes []rendezvous.Node
		for _, other := range f.hosts {
			if other.partition == h.partition {
				homes = append(homes, rendezvous.NewNode(other.name, ""))
				for _, r := range other.store.All(f.now) {
					h.store.Merge(f.now, r)
				}
			}
		}
		h.table.SetView(f.now, ViewOf(h.store))
		h.table.SetFleet(f.now, Fleet{Version: f.version, Homes: homes})
	}
	f.deliver()
}

// deliver carries what tables have to tell until there is nothing more.
func (f *fleet) deliver() {
	for again := true; again; {
		again = false
		for _, h := range f.hosts {
			for _, m := range h.table.Messages() {
				f.bytesSent += proto.Size(&peerpb.Datagram{From: h.name, Ends: m.Ends, Served: m.Served, TrialAsks: m.Asks, TrialGrants: m.Grants, AnsweredBefore: m.Answered})
				to, ok := f.hosts[m.To]
				if !ok || to.partition != h.partition || f.rng.Float64() < f.lossRate {
					continue
				}
				to.table.Receive(f.now, &peerpb.Datagram{From: h.name, Ends: m.Ends, Served: m.Served, TrialAsks: m.Asks, TrialGrants: m.Grants, AnsweredBefore: m.Answered})
				again = true
			}
			for _, d := range h.table.Decisions() {
				f.announce(h, d)
				again = true
			}
		}
	}
}

// nextClock is later than all before it.
func (f *fleet) nextClock() uint64 {
	f.clock = max(f.clock+1, uint64(hlc.FromTime(f.now)))
	return f.clock
}

func (f *fleet) announce(from *host, d Decision) {
	var r *peerpb.Register
	if d.Quarantine == nil {
		r = Lift(d.Cleared)
	} else {
		f.decisions++
		var err error
		if r, err = d.Quarantine.Register(f.now); err != nil {
			f.t.Fatal(err)
		}
	}
	f.decisionBytes += proto.Size(r)
	r.Stamp = &peerpb.Stamp{Clock: f.nextClock(), Host: from.name}
	for _, h := range f.hosts {
		if h.partition == from.partition {
			h.store.Merge(f.now, r)
			h.table.SetView(f.now, ViewOf(h.store))
		}
	}
}

// advance lets time advance.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(50*time.Millisecond, end.Sub(f.now)))
		for _, h := range f.hosts {
			h.table.Tick(f.now)
		}
		f.deliver()
	}
}

func (f *fleet) serverCrashed(host string, id content.ID, server string) {
	f.hosts[host].table.Ended(f.now, id, End{Service: "shop", Server: server, At: f.now})
	f.deliver()
}

func (f *fleet) answered(host string, id content.ID) {
	f.hosts[host].table.Served(f.now, id)
	f.deliver()
}

// refusingHosts counts the hosts that refuse a content.
func (f *fleet) refusingHosts(id content.ID) int {
	n := 0
	for _, h := range f.hosts {
		if q := h.table.view.Get(id); q != nil && f.now.Before(q.Until) {
			n++
		}
	}
	return n
}

func contentID(name string) content.ID { return content.Of(content.Request{Target: name}) }

func (f *fleet) hostsAllowedTrial(id content.ID) []string {
	var by []string
	for _, h := range f.hosts {
		if q := h.table.view.Get(id); q != nil {
			if tries, _ := h.table.Trial(f.now, q); tries {
				by = append(by, h.name)
			}
		}
	}
	return by
}

func (f *fleet) trialCount(id content.ID) int { return len(f.hostsAllowedTrial(id)) }

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

// fleet simulates hosts with their tables, and registers that are replicated within a partition.
type fleet struct {
	t       *testing.T
	now     time.Time
	hosts   map[string]*host
	names   []string // of all hosts ever started
	version uint64
	clock   uint64
	// lossRate is the share of messages between hosts that are lost.
	lossRate float64
	rng      *rand.Rand
	// decisions counts the announced quarantines, bytesSent the bytes of all messages between
	// hosts, and decisionBytes the bytes of announced decisions that each host receives.
	decisions     int
	bytesSent     int
	decisionBytes int
}

type host struct {
	name  string
	table *Table
	store *register.Store
	// partition is the network partition; hosts of the same one can communicate.
	partition int
	// connectedSince is when the host last started or last changed its partition.
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

// start adds a host with empty state, or replaces one.
func (f *fleet) start(name string) {
	f.hosts[name] = &host{name: name, table: NewTable(name), store: register.NewStore(), connectedSince: f.now}
	if !slices.Contains(f.names, name) {
		f.names = append(f.names, name)
	}
}

// syncHosts updates each host's live hosts and merges the registers of its partition.
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

// deliver carries messages and decisions between hosts until none is left.
func (f *fleet) deliver() {
	for again := true; again; {
		again = false
		for _, h := range f.hosts {
			for _, m := range h.table.Messages() {
				f.bytesSent += proto.Size(&peerpb.Datagram{From: h.name, Ends: m.Ends, Served: m.Served, TrialAsks: m.TrialRequests, TrialGrants: m.GrantedTrials, AnsweredBefore: m.Answered})
				to, ok := f.hosts[m.To]
				if !ok || to.partition != h.partition || f.rng.Float64() < f.lossRate {
					continue
				}
				to.table.Receive(f.now, &peerpb.Datagram{From: h.name, Ends: m.Ends, Served: m.Served, TrialAsks: m.TrialRequests, TrialGrants: m.GrantedTrials, AnsweredBefore: m.Answered})
				again = true
			}
			for _, d := range h.table.Decisions() {
				f.announce(h, d)
				again = true
			}
		}
	}
}

// nextClock returns a stamp that is later than all previous ones.
func (f *fleet) nextClock() uint64 {
	f.clock = max(f.clock+1, uint64(hlc.FromTime(f.now)))
	return f.clock
}

// announce writes a decision to the registers of all hosts in the sender's partition.
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

// advance moves the clock forward in steps, with a tick at each.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(50*time.Millisecond, end.Sub(f.now)))
		for _, h := range f.hosts {
			h.table.Tick(f.now)
		}
		f.deliver()
	}
}

// serverCrashed lets a host observe the crash of a server that ran a content.
func (f *fleet) serverCrashed(host string, id content.ID, server string) {
	f.hosts[host].table.RecordCrash(f.now, id, Crash{Service: "shop", Server: server, At: f.now})
	f.deliver()
}

// answered lets a host pass on a complete answer to a content.
func (f *fleet) answered(host string, id content.ID) {
	f.hosts[host].table.RecordAnswer(f.now, id)
	f.deliver()
}

// refusingHosts returns the number of hosts that refuse a content.
func (f *fleet) refusingHosts(id content.ID) int {
	n := 0
	for _, h := range f.hosts {
		if q := h.table.view.Get(id); q != nil && f.now.Before(q.Until) {
			n++
		}
	}
	return n
}

func contentID(name string) content.ID { return content.NewID(content.Request{Target: name}) }

// hostsAllowedTrial lets each host request a trial, and returns those that are allowed one.
func (f *fleet) hostsAllowedTrial(id content.ID) []string {
	var allowed []string
	for _, h := range f.hosts {
		if q := h.table.view.Get(id); q != nil {
			if ok, _ := h.table.RequestTrial(f.now, q); ok {
				allowed = append(allowed, h.name)
			}
		}
	}
	return allowed
}

func (f *fleet) trialCount(id content.ID) int { return len(f.hostsAllowedTrial(id)) }

package engine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/world"
)

// FuzzDatagram searches for a message that crashes the hosts that receive it.
func FuzzDatagram(f *testing.F) {
	for _, d := range []*peerpb.Datagram{
		{Kind: peerpb.Datagram_KIND_PING, From: "h2", Sequence: 1, Target: "h3"},
		{Kind: peerpb.Datagram_KIND_GOSSIP, From: "h2", Members: []*peerpb.Member{{Host: "h3", Address: "10.0.0.3:1", Incarnation: 2, Liveness: 2}}},
		{Kind: peerpb.Datagram_KIND_GOSSIP, Registers: []*peerpb.Register{{Key: "quarantine/00", Stamp: &peerpb.Stamp{Clock: 1, Host: "h2"}, Value: []byte{8}, TtlMs: 1}}},
		{Kind: peerpb.Datagram_KIND_EVIDENCE, Evidence: &peerpb.Evidence{Host: "h2", Service: "shop", Backends: []*peerpb.BackendEvidence{{Backend: "b1", Failed: 3}}}},
		{Kind: peerpb.Datagram_KIND_HEARTBEAT, From: "h2", Heads: []*peerpb.Head{{Key: "services/main", Revision: 3}}, AnswerAgeMs: 5},
		{Kind: peerpb.Datagram_KIND_LOAD, From: "h2", Near: true, Loads: []*peerpb.BackendLoad{{Service: "shop", Backend: "b1", InFlight: 3, Failed: 2, OldestMs: 9}}},
		{Kind: peerpb.Datagram_KIND_QUOTA, From: "h2", Usages: []*peerpb.CustomerUsage{{Customer: "acme", Ask: 1, Wanted: 2, Use: 3}}, Grants: []*peerpb.CustomerGrant{{Customer: "acme", Ask: 1, Granted: 1}}},
		{Kind: peerpb.Datagram_KIND_SERVER_ENDS, From: "h2", Ends: []*peerpb.ServerEnd{{Content: make([]byte, 16), Server: "b1"}}},
	} {
		raw, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := &peerpb.Datagram{}
		if proto.Unmarshal(raw, d) != nil {
			return
		}
		e := newEngine()
		e.Datagram(epoch, "10.0.0.2:1", d)
		e.Step(epoch.Add(100 * time.Millisecond))
		updateTables(d)
	})
}

// updateTables passes a message to the tables that are updated outside the control loop.
func updateTables(d *peerpb.Datagram) {
	loads := policy.NewTable(epoch, policy.Config{Cost: policy.DefaultCostRule(), Random: rand.New(rand.NewPCG(1, 1)), Retry: policy.RetryRule{Share: 0.2, Window: 10 * time.Second}})
	loads.Report(epoch, d.From, d.Life, d.Loads, d.Near)
	loads.Refresh(epoch.Add(time.Second))
	limits := quota.NewTable("h1", quota.ServerRule(), func(string) (customer.Limit, bool) { return customer.Limit{PerSecond: 3}, true })
	limits.Usages(epoch, d.From, d.Life, d.Usages)
	limits.Grants(epoch, d.From, d.Grants)
	limits.Tick(epoch.Add(time.Second))
	ends := quarantine.NewTable("h1")
	ends.Receive(epoch, d)
	ends.Tick(epoch.Add(time.Second))
}

// FuzzDocument searches for a document that crashes the hosts that read it.
func FuzzDocument(f *testing.F) {
	f.Add(world.KeyIndex, []byte("shards: {main: 1}\n"))
	f.Add("services/main", []byte("services: [{name: shop, routes: [{path: /shop}], backends: [{id: b1, address: '10.0.0.1:80'}]}]\n"))
	f.Add(world.KeyHosts, []byte("hosts: [{name: h1, address: '10.0.0.1:1'}]\n"))
	f.Add(world.KeyDiscovered, []byte(`{"backends":[]}`))
	f.Add("services/main", []byte(`{"customers":[{"name":"acme","key_digests":["x"],"per_second":1e308}]}`))
	f.Fuzz(func(t *testing.T, key string, raw []byte) {
		e := newEngine()
		e.HandleDocument(epoch, key, 2, raw)
		e.Step(epoch.Add(100 * time.Millisecond))
	})
}

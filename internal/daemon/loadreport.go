package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/policy"
)

const (
	// gatherFor is how long changes gather into one datagram. A request takes
	// some 250 ms, so that this delays no decision by much.
	gatherFor = 2 * time.Millisecond
	// repeatAfter is when failures are told once more within the data centre, in
	// case a datagram was lost. What is told are counts, so that a repeat changes
	// nothing.
	repeatAfter = 60 * time.Millisecond
	// loadsPerDatagram keeps a datagram below common MTUs, at some 50 bytes each.
	loadsPerDatagram = 20
)

// loadReporter tells other hosts what this one does at backend servers: the
// hosts of its data centre everything, all others the failures.
type loadReporter struct {
	d     *Daemon
	table *balance.Table
}

func (l *loadReporter) run(ctx context.Context) {
	refresh := time.NewTicker(policy.RefreshEvery)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			l.table.Refresh()
		case <-l.table.Changed():
			wait(ctx, gatherFor)
			l.tell()
		}
	}
}

func (l *loadReporter) tell() {
	near, failing := l.table.Changes()
	l.tellPeers(near, true)
	if len(failing) == 0 {
		return
	}
	l.tellPeers(failing, false)
	time.AfterFunc(repeatAfter, func() {
		if l.d.ctx.Err() == nil {
			l.tellPeers(near, true)
		}
	})
}

// tellPeers tells the hosts of this data centre, or if near is false those of the
// others: bytes to them are dear, so that they hear of failures only, and once.
func (l *loadReporter) tellPeers(loads []*peerpb.BackendLoad, near bool) {
	snap := l.d.engine.Snapshot()
	for _, p := range snap.Peers {
		if (p.DataCentre == snap.Self.DataCentre) == near {
			l.send(p.Address, loads, near)
		}
	}
}

func (l *loadReporter) send(address string, loads []*peerpb.BackendLoad, near bool) {
	for len(loads) > 0 {
		n := min(len(loads), loadsPerDatagram)
		l.d.datagrams.Send(address, &peerpb.Datagram{
			Kind:  peerpb.Datagram_KIND_LOAD,
			From:  l.d.settings.Host,
			Life:  l.table.Life(),
			Loads: loads[:n],
			Near:  near,
		})
		loads = loads[n:]
	}
}

// receive takes a datagram: loads go to the balancer at once, all others to the
// control loop.
func (d *Daemon) receive(from string, payload []byte) {
	if d.balance == nil {
		d.publishDatagram(from, payload)
		return
	}
	datagram := &peerpb.Datagram{}
	if err := proto.Unmarshal(payload, datagram); err != nil {
		klog.V(2).InfoS("datagram does not parse", "peer", from, "err", err)
		return
	}
	if datagram.Kind != peerpb.Datagram_KIND_LOAD {
		d.publishDatagram(from, payload)
		return
	}
	d.balance.Report(datagram.From, datagram.Life, datagram.Loads, datagram.Near)
}

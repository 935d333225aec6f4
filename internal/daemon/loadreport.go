package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/sharing"
)

const (
	// batchDelay is how long changes are collected into one datagram. It is short
	// compared with a request, which takes about 250 ms, so load balancing decisions
	// are hardly delayed.
	batchDelay = 2 * time.Millisecond
	// resendDelay is the time after which failures are reported a second time within
	// the data centre, in case a datagram was lost. Reports carry counts, so a
	// duplicate has no effect.
	resendDelay = 60 * time.Millisecond
)

// loadReporter reports this host's load on backend servers to the other hosts that use
// them.
type loadReporter struct {
	d     *Daemon
	table *balance.Table
	turn  int // of the hosts of other data centres that pass on reports
}

func (l *loadReporter) run(ctx context.Context) {
	refresh := time.NewTicker(policy.RefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			l.table.Refresh()
		case <-l.table.Changed():
			wait(ctx, batchDelay)
			l.report()
		}
	}
}

func (l *loadReporter) report() {
	near, failing := l.table.Changes()
	snap := l.d.engine.Snapshot()
	service := snap.ServiceRings
	l.send(snap.Sharing.Local(near, service), false)
	if len(failing) == 0 {
		return
	}
	relayed, direct := snap.Sharing.RemoteByRelay(failing, service, l.turn)
	// The repetition goes to the next host: the first one may have died, or the datagram be lost.
	again, _ := snap.Sharing.RemoteByRelay(failing, service, l.turn+1)
	l.turn++
	l.send(relayed, true)
	l.send(direct, false)
	time.AfterFunc(resendDelay, func() {
		if l.d.ctx.Err() == nil {
			l.send(snap.Sharing.Local(near, service), false)
			l.send(again, true)
		}
	})
}

func (l *loadReporter) send(messages []sharing.Message, passOn bool) {
	for _, m := range messages {
		l.d.datagrams.Send(&peerpb.Datagram{
			Kind:  peerpb.Datagram_KIND_LOAD,
			From:  l.d.settings.Host,
			Life:  l.table.Incarnation(),
			Loads: m.Loads,
			Near:  m.Local,

			PassOn: passOn,
		}, m.To...)
	}
}

// receive dispatches a datagram by kind: load reports go directly to the balancer, limit
// usage to the limiters and reports of crashed servers to the content guard. All other kinds go to the
// control loop.
func (d *Daemon) receive(from string, payload []byte) {
	datagram := &peerpb.Datagram{}
	if err := proto.Unmarshal(payload, datagram); err != nil {
		klog.V(2).InfoS("cannot decode datagram", "peer", from, "err", err)
		return
	}
	switch {
	case datagram.Kind == peerpb.Datagram_KIND_QUOTA:
		d.limiter.receive(datagram)
	case datagram.Kind == peerpb.Datagram_KIND_SERVER_QUOTA:
		d.rateLimits.receive(datagram)
	case datagram.Kind == peerpb.Datagram_KIND_SERVER_ENDS:
		d.guard.receive(datagram)
	case datagram.Kind == peerpb.Datagram_KIND_LOAD && d.balance != nil:
		d.balance.Report(datagram.From, datagram.Life, datagram.Loads, datagram.Near)
		d.passOn(datagram)
	default:
		d.publishDatagram(from, payload)
	}
}

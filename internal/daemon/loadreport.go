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
	// gatherFor is how long changes gather into one datagram. A request takes
	// some 250 ms, so that this delays no decision by much.
	gatherFor = 2 * time.Millisecond
	// repeatAfter is when failures are told once more within the data centre, in
	// case a datagram was lost. What is told are counts, so that a repeat changes
	// nothing.
	repeatAfter = 60 * time.Millisecond
)

// loadReporter tells other hosts what this one does at the backend servers that they
// use too.
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
	snap := l.d.engine.Snapshot()
	service := snap.SharedService
	l.send(snap.Sharing.Near(near, service))
	if len(failing) == 0 {
		return
	}
	l.send(snap.Sharing.Far(failing, service))
	time.AfterFunc(repeatAfter, func() {
		if l.d.ctx.Err() == nil {
			l.send(snap.Sharing.Near(near, service))
		}
	})
}

func (l *loadReporter) send(messages []sharing.Message) {
	for _, m := range messages {
		l.d.datagrams.Send(&peerpb.Datagram{
			Kind:  peerpb.Datagram_KIND_LOAD,
			From:  l.d.settings.Host,
			Life:  l.table.Life(),
			Loads: m.Loads,
			Near:  m.Near,
		}, m.To...)
	}
}

// receive takes a datagram: loads go to the balancer at once, use of limits to the limiters
// and servers' ends to the quarantine, all others to the control loop.
func (d *Daemon) receive(from string, payload []byte) {
	datagram := &peerpb.Datagram{}
	if err := proto.Unmarshal(payload, datagram); err != nil {
		klog.V(2).InfoS("datagram does not parse", "peer", from, "err", err)
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
	default:
		d.publishDatagram(from, payload)
	}
}

package daemon

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/trouble"
	"github.com/pearshelf/pearshelf/internal/world"
)

// troubleWatch tells what this host's segment sees of services to their homes, and as a home all
// hosts which services are in trouble.
type troubleWatch struct {
	d *Daemon

	mu   sync.Mutex
	home *trouble.Home
}

func newTroubleWatch(d *Daemon) *troubleWatch { return &troubleWatch{d: d, home: trouble.NewHome()} }

// tell tells the homes what the segment has seen lately, if this host speaks for it.
func (w *troubleWatch) tell() {
	snap := w.d.engine.Snapshot()
	if !snap.Sharing.SpeaksForSegment() {
		return
	}
	toHome := make(map[string][]*peerpb.ServiceOutcomes)
	for _, seen := range w.d.balance.Outcomes() {
		home := trouble.HomeOf(seen.Service, snap.Homes)
		toHome[home] = append(toHome[home], &peerpb.ServiceOutcomes{
			Service:  seen.Service,
			Served:   uint32(seen.Served),
			Unserved: uint32(seen.Unserved),
			Hosts:    uint32(snap.Sharing.SegmentSize()),
		})
	}
	for home, outcomes := range toHome {
		if home == w.d.settings.Host {
			w.take(snap, home, outcomes)
		} else if address, known := snap.Sharing.Address(home); known {
			w.send(&peerpb.Datagram{Outcomes: outcomes}, address)
		}
	}
}

// receive takes what a segment has seen, or which services are in trouble.
func (w *troubleWatch) receive(datagram *peerpb.Datagram) {
	w.take(w.d.engine.Snapshot(), datagram.From, datagram.Outcomes)
	w.note(datagram.Troubled)
}

func (w *troubleWatch) take(snap *world.Snapshot, from string, outcomes []*peerpb.ServiceOutcomes) {
	w.mu.Lock()
	troubled := w.home.Take(time.Now(), from, outcomes, snap.LiveHosts)
	w.mu.Unlock()
	if len(troubled) == 0 {
		return
	}
	klog.InfoS("services in trouble, by the sum over all hosts", "services", troubled)
	w.note(troubled)
	w.send(&peerpb.Datagram{Troubled: troubled}, snap.Sharing.Everyone()...)
}

func (w *troubleWatch) note(troubled []string) {
	for _, service := range troubled {
		w.d.balance.NoteTrouble(service, trouble.Lasts)
		w.d.metrics.Trouble(service)
	}
}

func (w *troubleWatch) send(datagram *peerpb.Datagram, to ...string) {
	datagram.Kind = peerpb.Datagram_KIND_TROUBLE
	datagram.From = w.d.settings.Host
	w.d.datagrams.Send(datagram, to...)
}

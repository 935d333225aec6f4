package daemon

import (
	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/crosszone"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// meter returns a meter that counts bytes exchanged with another data centre.
func (d *Daemon) meter(sent, received string) *upstream.Meter {
	return &upstream.Meter{
		Sent:     func(bytes int) { d.crossZone.Add(sent, bytes) },
		Received: func(bytes int) { d.crossZone.Add(received, bytes) },
	}
}

// relayMeter returns the meter of connections over which requests are passed to another host, or nil if
// that is in this data centre.
func (d *Daemon) relayMeter(address string) *upstream.Meter {
	if !d.engine.Snapshot().FarHosts[address] {
		return nil
	}
	return d.meter(crosszone.Relay, crosszone.RelayAnswer)
}

// countCall counts a message of a call to the host at an address, if that is in another data centre.
func (d *Daemon) countCall(kind, address string, m proto.Message) {
	d.countSent(kind, address, crosszone.CallBytes+proto.Size(m))
}

// countSent counts bytes sent to the host at an address, if that is in another data centre.
func (d *Daemon) countSent(kind, address string, bytes int) {
	switch far, known := d.isFar(address); {
	case far:
		d.crossZone.Add(kind, bytes)
	case !known:
		d.crossZone.AddPending(address, kind, bytes)
	}
}

// isFar reports whether the host at an address is in another data centre, and whether it is known.
func (d *Daemon) isFar(address string) (far, known bool) {
	far, known = d.engine.Snapshot().FarHosts[address]
	return far, known
}

// countAnswer counts the response to a call of a host, if that is in another data centre. Hosts of an
// earlier version do not say who they are when they ask for documents.
func (d *Daemon) countAnswer(kind, host string, m proto.Message) {
	if d.engine.Snapshot().FarHostNames[host] {
		d.crossZone.Add(kind, crosszone.CallBytes+proto.Size(m))
	}
}

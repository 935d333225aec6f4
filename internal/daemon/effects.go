package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/adminpb"
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/bus"
	"github.com/pearshelf/pearshelf/internal/crosszone"
	"github.com/pearshelf/pearshelf/internal/engine"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/membership"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	callTimeout       = 2 * time.Second
	probeIDPrefix     = "probe-"
	maxProbeBodyBytes = 1 << 20
)

// makeBus creates the message bus and subscribes the control loop to its topics.
func (d *Daemon) makeBus() error {
	b, err := bus.New()
	if err != nil {
		return err
	}
	d.bus = b
	b.Handle(bus.TopicObservations, d.handleObservations)
	b.Handle(bus.TopicDatagrams, d.handleDatagram)
	b.Handle(bus.TopicDocuments, d.handleDocument)
	b.Handle(bus.TopicEvents, d.handleEvent)
	return nil
}

func (d *Daemon) handleObservations(msg *message.Message) error {
	batch := &peerpb.Observations{}
	if err := proto.Unmarshal(msg.Payload, batch); err != nil {
		return err
	}
	d.engine.Post(func(now time.Time) { d.engine.Observe(now, batch.Observations) })
	return nil
}

func (d *Daemon) publishDatagram(from string, payload []byte) {
	d.bus.Publish(bus.TopicDatagrams, payload, bus.MetaAddress, from)
}

func (d *Daemon) handleDatagram(msg *message.Message) error {
	datagram := &peerpb.Datagram{}
	if err := proto.Unmarshal(msg.Payload, datagram); err != nil {
		return err
	}
	from := msg.Metadata.Get(bus.MetaAddress)
	d.engine.Post(func(now time.Time) { d.engine.Datagram(now, from, datagram) })
	return nil
}

func (d *Daemon) publishDocument(key string, revision uint64, raw []byte) {
	d.bus.Publish(bus.TopicDocuments, raw, bus.MetaKey, key, bus.MetaRevision, strconv.FormatUint(revision, 10))
}

// handleDocument waits for room in the control loop's inbox: a document that was delivered once is not
// delivered again.
func (d *Daemon) handleDocument(msg *message.Message) error {
	revision, err := strconv.ParseUint(msg.Metadata.Get(bus.MetaRevision), 10, 64)
	if err != nil {
		return err
	}
	key := msg.Metadata.Get(bus.MetaKey)
	raw := msg.Payload
	return d.engine.Deliver(d.ctx, func(now time.Time) { d.engine.HandleDocument(now, key, revision, raw) })
}

func (d *Daemon) handleEvent(msg *message.Message) error {
	e := &adminpb.Event{}
	if err := proto.Unmarshal(msg.Payload, e); err != nil {
		return err
	}
	d.events.Add(event.Event{
		Number:  event.Number(e.Number),
		Clock:   hlc.Timestamp(e.Clock),
		Host:    e.Host,
		Service: e.Service,
		Backend: e.Backend,
		Detail:  e.Detail,
	})
	return nil
}

// effects performs the I/O that the control loop requests. Operations that may block
// run in the background.
type effects struct{ d *Daemon }

// Send sends membership packets to their recipients.
func (f *effects) Send(packets []membership.Packet) {
	for _, p := range packets {
		f.d.datagrams.Send(p.Datagram, p.To)
	}
}

// Event publishes an event on the bus.
func (f *effects) Event(e event.Event) {
	raw, err := proto.Marshal(&adminpb.Event{
		Number:  uint32(e.Number),
		Clock:   uint64(e.Clock),
		Host:    e.Host,
		Service: e.Service,
		Backend: e.Backend,
		Detail:  e.Detail,
	})
	if err == nil {
		f.d.bus.Publish(bus.TopicEvents, raw)
	}
}

// Fetch requests a document from the listed peers and, if fetch.Platform is set, from
// the platform when no peer has it.
func (f *effects) Fetch(fetch world.Fetch) {
	f.d.wg.Go(func() {
		if f.fetchFromPeers(fetch) {
			return
		}
		if !fetch.Platform {
			if fetch.ConfirmFor.IsZero() {
				f.d.engine.Post(func(now time.Time) { f.d.engine.FetchFailed(now, fetch.Key) })
			}
			return
		}
		klog.InfoS("fetching document from platform", "key", fetch.Key, "after", fetch.After, "peers", len(fetch.Peers), "host", f.d.settings.Host)
		ctx, cancel := context.WithTimeout(f.d.ctx, callTimeout)
		defer cancel()
		value, err := f.d.platform.Get(ctx, fetch.Key, fetch.After)
		f.d.metrics.PlatformCall(err)
		switch {
		case err != nil:
		case value != nil:
			f.d.publishDocument(value.Key, value.Revision, value.Raw)
			f.confirm(fetch, value.Revision)
		case fetch.After > 0: // the platform has no newer revision
			f.confirm(fetch, fetch.After)
		}
	})
}

// confirm reports the revision that a host or the platform holds, if a confirmation was requested.
func (f *effects) confirm(fetch world.Fetch, revision uint64) {
	if fetch.ConfirmFor.IsZero() {
		return
	}
	f.d.engine.Post(func(now time.Time) { f.d.engine.DocumentConfirmed(now, fetch, revision) })
}

// fetchFromPeers asks the peers in turn until one returns the document. Each call has its
// own time-out, so that a peer that hangs does not keep the next from being asked.
func (f *effects) fetchFromPeers(fetch world.Fetch) bool {
	for _, address := range fetch.Peers {
		if f.fetchFromPeer(address, fetch) {
			return true
		}
	}
	return false
}

func (f *effects) fetchFromPeer(address string, fetch world.Fetch) bool {
	ctx, cancel := context.WithTimeout(f.d.ctx, configsync.FetchTimeout(fetch))
	defer cancel()
	req := &peerpb.DocumentRequest{Key: fetch.Key, After: fetch.After, From: f.d.settings.Host}
	f.d.countCall(crosszone.Document, address, req)
	resp, err := f.d.clients.Peer(address).Document(ctx, req)
	if err != nil {
		klog.V(3).InfoS("cannot fetch document from peer", "key", fetch.Key, "peer", address, "err", err)
		return false
	}
	confirms := configsync.Confirms(fetch, resp)
	if resp.Revision <= fetch.After {
		if confirms {
			f.confirm(fetch, resp.Revision)
		}
		return confirms
	}
	if resp.Unconfirmed && !f.d.engine.Ready() {
		return false // a host that starts has no older list to be careful with
	}
	raw, err := configsync.DecodeContent(resp)
	if err != nil {
		klog.ErrorS(err, "discarding invalid document from peer", "key", fetch.Key, "peer", address)
		return false
	}
	f.d.publishDocument(fetch.Key, resp.Revision, raw)
	if confirms {
		f.confirm(fetch, resp.Revision)
	}
	return true
}

// Probe sends a health check to a backend server and records the result.
func (f *effects) Probe(p world.Probe) {
	f.d.wg.Go(func() {
		kind := peerpb.Observation_KIND_PROBE_GOOD
		start := time.Now()
		if err := f.probe(p); err != nil {
			kind = peerpb.Observation_KIND_PROBE_FAILED
			klog.V(3).InfoS("health check failed", "service", p.Service, "backend", p.Backend, "err", err)
		}
		f.d.observer.Observe(&peerpb.Observation{Service: p.Service, Backend: p.Backend, Kind: kind, FirstByteUs: uint64(time.Since(start).Microseconds())})
	})
}

func (f *effects) probe(p world.Probe) error {
	ctx, cancel := context.WithTimeout(f.d.ctx, p.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+p.Path, nil)
	if err != nil {
		return err
	}
	id := probeIDPrefix + strconv.FormatInt(time.Now().UnixNano(), 36)
	req.Header.Set(protocol.HeaderRequestID, id)
	resp, err := f.d.probes.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	length, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBodyBytes+1))
	if err != nil {
		return err
	}
	if length > maxProbeBodyBytes {
		return fmt.Errorf("health check answered with more than %d bytes", maxProbeBodyBytes)
	}
	echo := resp.Header.Get(protocol.HeaderRequestID)
	if resp.StatusCode >= http.StatusInternalServerError || echo != "" && echo != id {
		return fmt.Errorf("health check answered with status %d and request ID %q", resp.StatusCode, echo)
	}
	return nil
}

// SyncWith performs a full state exchange with the host at an address.
func (f *effects) SyncWith(address string) {
	f.d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(f.d.ctx, callTimeout)
		defer cancel()
		if err := f.sync(ctx, address); err != nil {
			klog.V(3).InfoS("state sync with peer failed", "peer", address, "err", err)
		}
	})
}

func (f *effects) sync(ctx context.Context, address string) error {
	e := f.d.engine
	var state *peerpb.SyncRequest
	if err := e.Do(ctx, func(_ *world.World, now time.Time) { state = e.State(now) }); err != nil {
		return err
	}
	client := f.d.clients.Peer(address)
	digest := &peerpb.SyncRequest{From: state.From, Digest: state.Digest, Clock: state.Clock}
	f.d.countCall(crosszone.Comparison, address, digest)
	resp, err := client.Sync(ctx, digest)
	if err != nil {
		return err
	}
	if !resp.Same {
		f.d.countCall(crosszone.Comparison, address, state)
		if _, err := client.Sync(ctx, state); err != nil {
			return err
		}
	}
	return e.Do(ctx, func(_ *world.World, now time.Time) {
		e.Merge(now, resp.Members, resp.Registers, resp.Clock)
		e.MarkSynced()
	})
}

// SetReading starts or stops watching the platform.
func (f *effects) SetReading(reader bool) { f.d.platformWatcher.setReader(reader) }

// StopRequested closes the channel returned by StopRequests. Repeated calls have no
// effect.
func (f *effects) StopRequested() {
	f.d.stopOnce.Do(func() { close(f.d.stopRequested) })
}

// Ticked updates the metrics of the control loop.
func (f *effects) Ticked(d time.Duration, w *world.World) {
	f.d.metrics.TickDuration(d)
	live := 0
	for _, h := range w.Hosts {
		if h.Live() {
			live++
		}
	}
	f.d.metrics.SetLiveHosts(live)
}

// Interface guard.
var _ engine.Effects = (*effects)(nil)

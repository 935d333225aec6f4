// Package world holds the state tables of a host: hosts, services, backend
// servers, documents and registers. On each tick the systems (internal/system/...)
// process them on a single goroutine; the request path reads immutable snapshots.
package world

import (
	"cmp"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/register"
	"github.com/pearshelf/pearshelf/internal/registry"
)

// Keys of the platform's documents.
const (
	KeyIndex       = "services/index"
	KeyHosts       = "hosts"
	KeyShardPrefix = "services/"
	// KeyPublished is the only shard of a platform that publishes its
	// configuration as a single document.
	KeyPublished = KeyShardPrefix + "published"
	// KeyDiscovered holds the backend servers that registered themselves, if the
	// platform provides such a registry.
	KeyDiscovered = "backends"
)

// System is one step of a tick. It must depend on the world and the given time
// only, and must not read the clock, start goroutines or perform I/O.
type System interface {
	Run(w *World, now time.Time)
}

// Identity identifies a host.
type Identity struct {
	Host       string
	Address    string // peer listener, IP:port
	DataCentre string
}

// Host is one row of the host table.
type Host struct {
	Name       string
	Address    string // peer listener, IP:port
	DataCentre string
	Liveness   peerpb.Liveness
	Leaving    bool
	// Path is whether the host reaches backend servers.
	Path peerpb.PathState
	// Capacity is the CPU capacity that the host can spare beside its own requests, in
	// thousandths of a core, 0 if not reported.
	Capacity uint32
	// RelaysLoads is whether the host passes on reports of load to hosts of its data centre.
	RelaysLoads bool
}

// Live reports whether requests may be sent to the host.
func (h *Host) Live() bool {
	return h.Liveness == peerpb.Liveness_LIVENESS_ALIVE || h.Liveness == peerpb.Liveness_LIVENESS_SUSPECT
}

// Eligible reports whether the host may own services.
func (h *Host) Eligible() bool { return h.Live() && !h.Leaving }

// Document is this host's copy of the document under one key of the platform.
type Document struct {
	Key      string
	Revision uint64
	Raw      []byte
	// ExpectedBytes is the size of the first revision as it is sent, 0 if unknown.
	ExpectedBytes int
	// Refused is the highest revision whose content was refused; RefusedReason is why.
	Refused       uint64
	RefusedReason string
	// Incomplete is set if a change could not be applied to the revision held, so that the
	// whole document is needed.
	Incomplete bool
	// Answers caches the latest responses to other hosts for this document.
	Answers DocumentAnswers
	// FetchingUntil is the time until which a fetch counts as in progress.
	FetchingUntil time.Time
	// Attempts is the number of fetches since the last success.
	Attempts int
}

// DocumentAnswers holds responses to other hosts by the revision that those hosts hold.
type DocumentAnswers struct {
	Revision       uint64
	MadeAt         time.Time
	ByBaseRevision map[uint64]*peerpb.DocumentResponse
}

// Needs reports whether this host needs the given revision: it is newer than the
// one held and has not been refused.
func (d *Document) Needs(revision uint64) bool {
	if d.Incomplete {
		return revision >= d.Revision
	}
	return revision > d.Revision && revision > d.Refused
}

// BaseRevision returns the revision to which this host can apply changes, or 0 if it needs the
// whole document.
func (d *Document) BaseRevision() uint64 {
	if d.Incomplete {
		return 0
	}
	return d.Revision
}

// BackendState is the health state of a backend server.
type BackendState int

// States of a backend server.
const (
	BackendHealthy BackendState = iota
	BackendSuspect              // idempotent requests only, as a last resort
	BackendEjected              // no requests, by majority vote of the watchers
	BackendTrial                // back in rotation: idempotent requests first, then slow start
)

var stateNames = [...]string{"healthy", "suspect", "ejected", "trial"}

// String returns the name shown to operators.
func (s BackendState) String() string { return stateNames[s] }

// Rotation describes whether and how a backend server may be used.
type Rotation struct {
	// In is whether the server gets any requests.
	In bool
	// IdempotentOnly restricts the server to idempotent requests.
	IdempotentOnly bool
	// Weight, from 0 to 1, scales the server's share of requests.
	Weight float64
	// Reason is a short explanation for operators, empty in full rotation.
	Reason string
}

// Detection is the failure detection state for one backend server on this host.
type Detection struct {
	// Relative is the cumulative log-likelihood ratio of faulty versus healthy,
	// minus a multiple of the median over the service's other servers.
	Relative float64
	// Unreachable is the number of consecutive failed connections from this host.
	Unreachable int
	// PathFault is set while the server fails only for this host.
	PathFault bool
	// Voted is whether this host, as a watcher, votes for ejection.
	Voted bool
	// RenewAt is when the vote must be renewed.
	RenewAt time.Time
	// Relapses is the number of ejections shortly after a return.
	Relapses   int
	ReturnedAt time.Time
	// ProbeAt is when the next probe is due; ConsecutiveGoodProbes is the number of consecutive
	// successful probes.
	ProbeAt               time.Time
	ConsecutiveGoodProbes int
	// TrialSuccesses is the number of successful requests since the return.
	TrialSuccesses int
}

// BackendServer is one row of the backend server table.
type BackendServer struct {
	Config config.Backend
	State  BackendState
	Since  time.Time // of State
	// JoinedAt is when the server, or its current process, joined a service that this host
	// already knew; zero if it was there before.
	JoinedAt time.Time
	// ColdUntil is the time until which the server, after its start, is slow and gets few
	// requests.
	ColdUntil time.Time
	Detection Detection
	Rotation  Rotation
}

// Service is one row of the service table.
type Service struct {
	Config   *config.Service
	Document string
	// ListsBackends is whether the configuration lists the backend servers;
	// otherwise the registered ones are used.
	ListsBackends bool
	// Backends is ordered by ID.
	Backends []*BackendServer
	// Owners are the hosts that may dispatch requests of the service, by data
	// centre in rank order. The first ActiveOwners of each are active, the others
	// are on standby.
	Owners       map[string][]string
	ActiveOwners int
	// Watchers are the hosts that eject servers by majority vote.
	Watchers []string
	// Latency is a sample of recent times to first byte.
	Latency LatencySample
	// DetectionActive is set while failure detection has work to do.
	DetectionActive bool
	// Dirty requests that rotation and view be recomputed.
	Dirty bool
}

// Backend returns the backend server with the given ID, or nil.
func (s *Service) Backend(id string) *BackendServer {
	i, ok := slices.BinarySearchFunc(s.Backends, id, func(b *BackendServer, id string) int { return cmp.Compare(b.Config.ID, id) })
	if !ok {
		return nil
	}
	return s.Backends[i]
}

// CountIn returns the number of the service's backend servers in a data centre.
func (s *Service) CountIn(dataCentre string) int {
	count := 0
	for _, b := range s.Backends {
		if b.Config.DataCentre == dataCentre {
			count++
		}
	}
	return count
}

// Watches reports whether a host is one of the service's watchers.
func (s *Service) Watches(host string) bool { return slices.Contains(s.Watchers, host) }

// Active returns the active owners in all data centres, sorted by name.
func (s *Service) Active() []string {
	var active []string
	for _, hosts := range s.Owners {
		active = append(active, hosts[:min(s.ActiveOwners, len(hosts))]...)
	}
	slices.Sort(active)
	return active
}

// World holds all state tables of one host.
type World struct {
	Self  Identity
	Clock *hlc.Clock

	// Hosts is the membership list, by name.
	Hosts map[string]*Host
	// HostList is the platform's host list.
	HostList config.HostList
	// Index is the platform's list of shards, nil until received.
	Index *config.Index
	// Readers are the hosts of this data centre that watch the platform. They are
	// the first hosts of ReaderOrder, which also ranks their substitutes.
	Readers     []string
	ReaderOrder []string
	// ActiveReaders is the number of hosts per data centre that watch the platform.
	ActiveReaders int
	// IsSubstituteReader is set while this host watches the platform as a substitute for a reader.
	IsSubstituteReader bool
	// HeadsChanged is set when this host applies a new revision of a document. It requests an
	// immediate heartbeat from a reader.
	HeadsChanged bool

	Documents map[string]*Document
	// Required are the keys that this host must have to become ready.
	Required []string
	// Polled are the keys that every host polls from the platform occasionally.
	Polled   []string
	Services map[string]*Service
	// SharedRoutes are the routes that specify their services, by document.
	SharedRoutes map[string][]config.Route
	// Customers are the configured customers, by document.
	Customers map[string][]config.Customer
	// Registry holds the platform's list of backend servers that have registered
	// themselves.
	Registry *registry.Table
	// Discovered are the registered backend servers that this host uses, by service and
	// ordered by ID. They are used for services whose configuration lists no servers.
	Discovered map[string][]config.Backend
	// Evacuated are the data centres whose backend servers get no requests, sorted.
	Evacuated []string
	// Absent are the registered backend servers that the platform no longer lists
	// but that this host keeps using for a grace period, by ID.
	Absent map[string]AbsentBackend
	// Platform tracks when the platform answered a host of this data centre.
	Platform PlatformAnswers
	// DirectPicking is set if each host picks backend servers itself instead of
	// forwarding to owners.
	DirectPicking bool
	// Registers are the last-writer-wins values that are replicated to all hosts, such as
	// votes, operators' directives and announced revisions; see package register.
	Registers *register.Store

	// HostsVersion increases with every change to Hosts.
	HostsVersion uint64
	// HostsChanged and ServicesChanged request that placement and routes be recomputed.
	HostsChanged    bool
	ServicesChanged bool
	// Settled is whether this host has had time to learn of the other hosts, or
	// knows of none.
	Settled bool
	// Leaving is set during a planned stop of this host.
	Leaving bool
	// FreshUntil is the time until which requests may be sent by this view.
	FreshUntil time.Time
	// Suspended is the total time that the machine has been suspended since boot.
	Suspended time.Duration
	// StartedAt is when this process started.
	StartedAt time.Time
	// NetworkSuspect is set while this host's own network appears to be faulty.
	NetworkSuspect bool

	// QuarantineChanged requests a new view of the quarantined contents.
	QuarantineChanged bool
	// RateLimitsChanged requests a new view of the rate limits of servers.
	RateLimitsChanged bool

	Outbox Outbox
}

// AbsentBackend is a backend server whose registration is missing.
type AbsentBackend struct {
	Service string
	// Until is when the server is considered gone.
	Until time.Time
}

// DefaultActiveReaders is the number of hosts per data centre that watch the
// platform if there are no substitutes for them.
const DefaultActiveReaders = 2

// New returns an empty world.
func New(self Identity, clock *hlc.Clock, now time.Time) *World {
	return &World{
		Self:          self,
		Clock:         clock,
		Hosts:         make(map[string]*Host),
		Documents:     make(map[string]*Document),
		Services:      make(map[string]*Service),
		SharedRoutes:  make(map[string][]config.Route),
		Customers:     make(map[string][]config.Customer),
		Absent:        make(map[string]AbsentBackend),
		ActiveReaders: DefaultActiveReaders,
		Required:      []string{KeyIndex},
		Polled:        []string{KeyIndex, KeyHosts},
		Registers:     register.NewStore(),
		Registry:      registry.New(),
		Discovered:    make(map[string][]config.Backend),
		StartedAt:     now,
	}
}

// Document returns the document with the given key, creating it if absent.
func (w *World) Document(key string) *Document {
	doc, ok := w.Documents[key]
	if !ok {
		doc = &Document{Key: key}
		w.Documents[key] = doc
	}
	return doc
}

// HostNames returns the sorted names of all known hosts.
func (w *World) HostNames() []string {
	names := make([]string, 0, len(w.Hosts))
	for name := range w.Hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ServiceNames returns the sorted names of all services.
func (w *World) ServiceNames() []string {
	names := make([]string, 0, len(w.Services))
	for name := range w.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Record queues an event for the timeline.
func (w *World) Record(now time.Time, n event.Number, service, backend, detail string) {
	w.Outbox.Events = append(w.Outbox.Events, event.Event{
		Number:  n,
		Clock:   w.Clock.Now(now),
		Host:    w.Self.Host,
		Service: service,
		Backend: backend,
		Detail:  detail,
	})
}

// Write stamps a register as written by this host, stores it and queues it for gossip.
func (w *World) Write(now time.Time, r *peerpb.Register) {
	r.Stamp = &peerpb.Stamp{
		Revision: r.GetStamp().GetRevision(),
		Clock:    uint64(w.Clock.Now(now)),
		Host:     w.Self.Host,
	}
	w.Registers.Merge(now, r)
	w.Outbox.Registers = append(w.Outbox.Registers, r)
}

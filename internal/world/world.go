// Package world holds the tables of a host: hosts, services, backend servers,
// documents and registers. The systems (internal/system/...) run over them
// each tick on one goroutine; the request path reads immutable snapshots.
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
	// KeyPublished is the one shard of a platform that publishes its
	// configuration as a whole.
	KeyPublished = KeyShardPrefix + "published"
	// KeyDiscovered holds the backend servers that registered themselves, where
	// the platform has such a register.
	KeyDiscovered = "backends"
)

// System is one step of a tick. It must be a pure function of the world and
// the time: no clock, goroutine or I/O of its own.
type System interface {
	Run(w *World, now time.Time)
}

// Identity names this host.
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
	// Capacity is what the host can bear beside its requests, in thousandths of a core, 0 if
	// not told.
	Capacity uint32
}

// Live reports whether the host may be asked for something.
func (h *Host) Live() bool {
	return h.Liveness == peerpb.Liveness_LIVENESS_ALIVE || h.Liveness == peerpb.Liveness_LIVENESS_SUSPECT
}

// Eligible reports whether the host may own services.
func (h *Host) Eligible() bool { return h.Live() && !h.Leaving }

// Document is one key of the platform as this host holds it.
type Document struct {
	Key      string
	Revision uint64
	Raw      []byte
	// Refused is the highest revision whose content was refused, and why.
	Refused       uint64
	RefusedReason string
	// Incomplete is set where a change did not fit what is held: only the whole document
	// helps.
	Incomplete bool
	// Answers are what other hosts were given of it last.
	Answers DocumentAnswers
	// Fetching is until when a fetch is under way.
	Fetching time.Time
	// Attempts counts fetches since the last success.
	Attempts int
}

// DocumentAnswers are answers to other hosts by the revision that they hold.
type DocumentAnswers struct {
	Revision uint64
	MadeAt   time.Time
	ByHeld   map[uint64]*peerpb.DocumentResponse
}

// Lacks reports whether a revision is newer than what this host holds, and not
// one that it refused.
func (d *Document) Lacks(revision uint64) bool {
	if d.Incomplete {
		return revision >= d.Revision
	}
	return revision > d.Revision && revision > d.Refused
}

// Held is the revision from which on this host can apply a change, 0 if it needs the whole
// document.
func (d *Document) Held() uint64 {
	if d.Incomplete {
		return 0
	}
	return d.Revision
}

// BackendState is the graded judgement of a backend server.
type BackendState int

// States of a backend server.
const (
	BackendHealthy BackendState = iota
	BackendSuspect              // idempotent requests only, last choice
	BackendEjected              // no requests, by a majority of watchers
	BackendTrial                // returned: idempotent requests first, then slow start
)

var stateNames = [...]string{"healthy", "suspect", "ejected", "trial"}

// String returns the name that operators use.
func (s BackendState) String() string { return stateNames[s] }

// Rotation says how a backend server may be used and why.
type Rotation struct {
	// In is whether it gets requests at all.
	In bool
	// IdempotentOnly keeps non-idempotent requests away.
	IdempotentOnly bool
	// Weight from 0 to 1 scales its share of requests.
	Weight float64
	// Reason is a word for operators, empty for full rotation.
	Reason string
}

// Detection is the evidence about one backend server on this host.
type Detection struct {
	// Relative is the cumulative log-likelihood ratio of faulty against healthy,
	// less a multiple of the median of the service's other servers.
	Relative float64
	// Unreachable counts failed connections in a row on this host.
	Unreachable int
	// PathFault is set while the server fails from this host only.
	PathFault bool
	// Voted is whether this host, as a watcher, holds it ejected.
	Voted bool
	// RenewAt is when the vote must be renewed.
	RenewAt time.Time
	// Relapses counts ejections that followed closely on a return.
	Relapses   int
	ReturnedAt time.Time
	// ProbeAt is when the next probe is due, ProbesGood the run of good ones.
	ProbeAt    time.Time
	ProbesGood int
	// TrialGood counts good requests since the return.
	TrialGood int
}

// BackendServer is one row of the backend server table.
type BackendServer struct {
	Config config.Backend
	State  BackendState
	Since  time.Time // of State
	// JoinedAt is when the server, or its process, joined a service that this host knew; zero if
	// it was there before.
	JoinedAt time.Time
	// ColdUntil is until when the server is slow and takes few requests after its start.
	ColdUntil time.Time
	Detection Detection
	Rotation  Rotation
}

// Service is one row of the service table.
type Service struct {
	Config   *config.Service
	Document string
	// ListsBackends is whether the configuration itself lists the backend
	// servers; otherwise they are the registered ones.
	ListsBackends bool
	// Backends is ordered by ID.
	Backends []*BackendServer
	// Owners are the hosts that dispatch the service, by data centre in rank
	// order; the first ActiveOwners of each do so, the others stand by.
	Owners       map[string][]string
	ActiveOwners int
	// Watchers are the hosts whose majority ejects.
	Watchers []string
	// Latency is the sample of recent times to the first byte.
	Latency LatencySample
	// Busy is set while detection has something to do.
	Busy bool
	// Dirty asks for a new rotation and view.
	Dirty bool
}

// Backend returns a row by ID or nil.
func (s *Service) Backend(id string) *BackendServer {
	i, ok := slices.BinarySearchFunc(s.Backends, id, func(b *BackendServer, id string) int { return cmp.Compare(b.Config.ID, id) })
	if !ok {
		return nil
	}
	return s.Backends[i]
}

// CountIn returns how many backend servers the service has in a data centre.
func (s *Service) CountIn(dataCentre string) int {
	count := 0
	for _, b := range s.Backends {
		if b.Config.DataCentre == dataCentre {
			count++
		}
	}
	return count
}

// Watches reports whether a host is one of the watchers.
func (s *Service) Watches(host string) bool { return slices.Contains(s.Watchers, host) }

// Active returns the active owners of all data centres, by name.
func (s *Service) Active() []string {
	var active []string
	for _, hosts := range s.Owners {
		active = append(active, hosts[:min(s.ActiveOwners, len(hosts))]...)
	}
	slices.Sort(active)
	return active
}

// World is all tables of one host.
type World struct {
	Self  Identity
	Clock *hlc.Clock

	// Hosts is the membership list, by name.
	Hosts map[string]*Host
	// HostList is the platform's list, with its document revision.
	HostList config.HostList
	// Index is the platform's list of shards, nil until known.
	Index *config.Index
	// Readers are the hosts of this data centre that watch the platform, the
	// first ones of ReaderOrder, which also ranks those that stand in for them.
	Readers     []string
	ReaderOrder []string
	// ActiveReaders is how many hosts of a data centre watch the platform.
	ActiveReaders int
	// StandsIn is set while this host watches the platform in a reader's place.
	StandsIn bool
	// HeadsChanged asks a reader for a heartbeat at once.
	HeadsChanged bool

	Documents map[string]*Document
	// Required are the keys without which this host is not ready.
	Required []string
	// Polled are the keys that every host asks the platform for now and then.
	Polled   []string
	Services map[string]*Service
	// SharedRoutes are the routes that name their services, by document.
	SharedRoutes map[string][]config.Route
	// Customers are those of all documents, by document.
	Customers map[string][]config.Customer
	// Registry is what the platform lists of the backend servers that have registered
	// themselves.
	Registry *registry.Table
	// Discovered are the registered backend servers that this host uses, by service and
	// ordered by ID; they serve the services whose configuration lists none.
	Discovered map[string][]config.Backend
	// Evacuated are the data centres whose backend servers get no requests, in order.
	Evacuated []string
	// Absent are the registered backend servers that the platform no longer
	// lists and this host still uses for a while, by ID.
	Absent map[string]AbsentBackend
	// Platform is when the platform answered a host of this data centre.
	Platform PlatformAnswers
	// DirectPicking is set where every host picks backend servers by itself.
	DirectPicking bool
	Registers     *register.Store

	// HostsVersion grows with every change of Hosts.
	HostsVersion uint64
	// HostsChanged and ServicesChanged ask for new placement and routes.
	HostsChanged    bool
	ServicesChanged bool
	// Settled is whether this host has had time to hear of the others, or knows
	// of none.
	Settled bool
	// Leaving is set during a planned stop of this host.
	Leaving bool
	// FreshUntil is until when the view may be trusted for non-idempotent work.
	FreshUntil time.Time
	// Suspended is for how long the machine has been suspended since it booted.
	Suspended time.Duration
	// StartedAt is when this process began.
	StartedAt time.Time
	// Distrust is set while this host's own network looks faulty.
	Distrust bool

	// QuarantineChanged asks for a new view of the contents in quarantine.
	QuarantineChanged bool
	// RateLimitsChanged asks for a new view of servers' rate limits.
	RateLimitsChanged bool

	Out Outbox
}

// AbsentBackend is a backend server whose registration is missing.
type AbsentBackend struct {
	Service string
	// Until is when it is taken for gone.
	Until time.Time
}

// DefaultActiveReaders watch the platform in each data centre where nobody
// stands in for them.
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

// Document returns the row of a key, made if absent.
func (w *World) Document(key string) *Document {
	doc, ok := w.Documents[key]
	if !ok {
		doc = &Document{Key: key}
		w.Documents[key] = doc
	}
	return doc
}

// HostNames returns the names of all known hosts in order.
func (w *World) HostNames() []string {
	names := make([]string, 0, len(w.Hosts))
	for name := range w.Hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ServiceNames returns the names of all services in order.
func (w *World) ServiceNames() []string {
	names := make([]string, 0, len(w.Services))
	for name := range w.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Record queues an event for the time line.
func (w *World) Record(now time.Time, n event.Number, service, backend, detail string) {
	w.Out.Events = append(w.Out.Events, event.Event{
		Number:  n,
		Clock:   w.Clock.Now(now),
		Host:    w.Self.Host,
		Service: service,
		Backend: backend,
		Detail:  detail,
	})
}

// Write makes a register of this host's, stores it and queues it for others.
func (w *World) Write(now time.Time, r *peerpb.Register) {
	r.Stamp = &peerpb.Stamp{
		Revision: r.GetStamp().GetRevision(),
		Clock:    uint64(w.Clock.Now(now)),
		Host:     w.Self.Host,
	}
	w.Registers.Merge(now, r)
	w.Out.Registers = append(w.Out.Registers, r)
}

// Package config parses and validates the configuration that the platform
// publishes: the shard index, the services of each shard, and the host list.
// Documents are YAML or JSON; JSON parses about ten times as fast. An unknown
// key or an out-of-range value rejects the whole document, so that a partially
// understood configuration is never applied.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pearshelf/pearshelf/internal/errs"
)

// Service defaults and limits.
const (
	DefaultTimeout       = 5 * time.Second
	DefaultQueuePerSlot  = 2
	DefaultQueueWait     = 1 * time.Second
	DefaultSlots         = 4
	DefaultProbePath     = "/healthz"
	DefaultDetection     = DetectionCareful
	MaxTimeout           = 2 * time.Hour
	MaxSlots             = 10_000
	MaxAttempts          = 100
	MaxBackendsPerShard  = 20_000
	minDuration          = time.Millisecond
	remedyFixAndPublish  = "correct the document and publish it again; the last valid version remains active"
	allowedDetectionText = "fast or careful"

	// MaxDocumentBytes limits a document in this format, before compression. It must not refuse
	// what operators may publish: a platform that allows values of 1 MiB may have them in a format
	// of its own, whose translation is several times as long, because it repeats the host name in
	// each route and has a digest in place of each key. It also leaves room for the list of
	// 20,000 backend servers, of at most 400 bytes each.
	MaxDocumentBytes = 16 << 20
)

// Detection selects a service's trade-off between detection time and false
// ejections.
type Detection string

// Detection policies.
const (
	// DetectionFast requires less evidence to eject: shorter detection time.
	DetectionFast Detection = "fast"
	// DetectionCareful requires more evidence to eject: fewer false ejections.
	DetectionCareful Detection = "careful"
)

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: invalid duration %q, want a value such as 250ms or 5s", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(string(raw), `"`))
	if err != nil {
		return fmt.Errorf("invalid duration %s, want a value such as \"250ms\" or \"5s\"", raw)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(`"` + time.Duration(d).String() + `"`), nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Backend is one backend server of a service.
type Backend struct {
	// ID is unique within the service.
	ID string `yaml:"id" json:"id,omitempty"`
	// Address is IP:port.
	Address string `yaml:"address" json:"address,omitempty"`
	// DataCentre is the data centre that the server runs in.
	DataCentre string `yaml:"data_centre" json:"data_centre,omitempty"`
	// Slots is the maximum number of concurrent requests. Default: the
	// service's Slots.
	Slots int `yaml:"slots" json:"slots,omitempty"`
	// Leaving marks a server that is draining and receives no new requests.
	Leaving bool `yaml:"leaving" json:"leaving,omitempty"`
	// Warmup is the remaining time, at publication, for which the server is
	// slow after its start. Default: 0.
	Warmup Duration `yaml:"warmup" json:"warmup,omitempty"`
	// Started is the start time of the server process, in Unix milliseconds. A
	// change means a restart under the same ID, which invalidates all state kept
	// about the server. Default: 0, unknown.
	Started int64 `yaml:"started" json:"started,omitempty"`
}

// SameProcess reports whether two entries of a server may describe the same
// process. An unknown start time matches any.
func (b *Backend) SameProcess(other *Backend) bool {
	return b.Address == other.Address && (b.Started == other.Started || b.Started == 0 || other.Started == 0)
}

// Route matches requests to a service.
type Route struct {
	// Host is the host name to match; empty matches any.
	Host string `yaml:"host" json:"host,omitempty"`
	// Path is a path prefix, matched by whole segments.
	Path string `yaml:"path" json:"path,omitempty"`
	// Methods are the HTTP methods to match; empty matches all.
	Methods []string `yaml:"methods" json:"methods,omitempty"`
	// Idempotent declares that a request can safely be executed more than once.
	// Default: false, also for GET.
	Idempotent bool `yaml:"idempotent" json:"idempotent,omitempty"`
	// Split distributes the requests over services by weight. If empty, all go
	// to the service that declares the route. Required on document-level routes.
	Split []Share `yaml:"split" json:"split,omitempty"`
	// Timeout limits the time until the caller receives the final response.
	// Default: only the service's timeout applies.
	Timeout Duration `yaml:"timeout" json:"timeout,omitempty"`
	// Attempts is the maximum number of backend servers that may execute one
	// request. Default: 3.
	Attempts int `yaml:"attempts" json:"attempts,omitempty"`
	// Priority is the priority under overload; 0 is the highest.
	Priority int `yaml:"priority" json:"priority,omitempty"`
	// Objective is the latency objective: the time within which a response has
	// its full value to the caller. Default: none.
	Objective Duration `yaml:"objective" json:"objective,omitempty"`
	// Public routes require no customer key.
	Public bool `yaml:"public" json:"public,omitempty"`
	// HomeRegions are the only regions in which requests may be executed.
	// Default: none, no restriction.
	HomeRegions []string `yaml:"home_regions" json:"home_regions,omitempty"`
}

// Share is the share of a split route that one service receives.
type Share struct {
	Service string `yaml:"service" json:"service,omitempty"`
	// Weight is relative to the sum of the route's weights. A service with
	// weight 0 receives no requests.
	Weight int `yaml:"weight" json:"weight,omitempty"`
}

// Probe configures the health-check request to a backend server.
type Probe struct {
	// Path is the path of the GET request. A path that does real work detects
	// grey failures that a health endpoint hides. Default: /healthz.
	Path string `yaml:"path" json:"path,omitempty"`
}

// Service is a set of backend servers and the routes that lead to them.
type Service struct {
	// Name is unique across all shards.
	Name string `yaml:"name" json:"name,omitempty"`
	// Floor is the minimum number of backend servers kept in rotation.
	Floor int `yaml:"floor" json:"floor,omitempty"`
	// Detection is the failure-detection policy. Default: careful.
	Detection Detection `yaml:"detection" json:"detection,omitempty"`
	// Slots is the default concurrency limit of a backend server. Default: 4.
	Slots int `yaml:"slots" json:"slots,omitempty"`
	// Timeout applies to requests that carry no deadline. Default: 5s.
	Timeout Duration `yaml:"timeout" json:"timeout,omitempty"`
	// Queue is the maximum number of queued requests per host. Default: 2 per
	// slot.
	Queue int `yaml:"queue" json:"queue,omitempty"`
	// QueueWait is the maximum queueing time of a request. Default: 1s.
	QueueWait Duration `yaml:"queue_wait" json:"queue_wait,omitempty"`
	// SessionAffinity keeps a session on the same backend server while that
	// server is available.
	SessionAffinity bool `yaml:"session_affinity" json:"session_affinity,omitempty"`
	// AllowMissingEcho accepts responses that do not echo the request ID.
	AllowMissingEcho bool `yaml:"allow_missing_echo" json:"allow_missing_echo,omitempty"`
	// Probe configures health checks of suspect and ejected backend servers.
	Probe Probe `yaml:"probe" json:"probe,omitempty"`
	// ColdPerSecond limits the request rate from all hosts together to a server
	// that is warming up after its start; a much higher rate may make the
	// process terminate. Default: 0, no limit.
	ColdPerSecond float64   `yaml:"cold_per_second" json:"cold_per_second,omitempty"`
	Routes        []Route   `yaml:"routes" json:"routes,omitempty"`
	Backends      []Backend `yaml:"backends" json:"backends,omitempty"`
}

// Document is the value of a services/<shard> key.
type Document struct {
	Services []Service `yaml:"services" json:"services,omitempty"`
	// Routes are document-level routes, each with the target services in Split.
	Routes []Route `yaml:"routes" json:"routes,omitempty"`
	// Customers may use routes that are not public. Default: none, and no
	// request requires a key.
	Customers []Customer `yaml:"customers" json:"customers,omitempty"`
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	Name       string `yaml:"name" json:"name,omitempty"`
	Address    string `yaml:"address" json:"address,omitempty"` // IP:port of the peer listener
	DataCentre string `yaml:"data_centre" json:"data_centre,omitempty"`
	Leaving    bool   `yaml:"leaving" json:"leaving,omitempty"`
}

// HostList is the value of the hosts key. The list may be stale: it may still
// contain a failed host.
type HostList struct {
	Hosts []ListedHost `yaml:"hosts" json:"hosts,omitempty"`
}

// Index is the value of the services/index key.
type Index struct {
	// Shards maps each shard name to its revision.
	Shards map[string]uint64 `yaml:"shards" json:"shards,omitempty"`
}

// ParseDocument parses and validates a shard document and applies defaults.
func ParseDocument(raw []byte) (*Document, error) {
	doc := &Document{}
	if err := decode(raw, doc); err != nil {
		return nil, err
	}
	check := &validator{}
	check.document(doc)
	if err := check.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// ParseHostList parses and validates the host list.
func ParseHostList(raw []byte) (*HostList, error) {
	list := &HostList{}
	if err := decode(raw, list); err != nil {
		return nil, err
	}
	check := &validator{}
	seen := make(map[string]bool)
	for i, h := range list.Hosts {
		check.hostEntry(fmt.Sprintf("hosts[%d]", i), h, seen)
	}
	if err := check.err(); err != nil {
		return nil, err
	}
	return list, nil
}

// ParseIndex parses the shard index.
func ParseIndex(raw []byte) (*Index, error) {
	index := &Index{}
	if err := decode(raw, index); err != nil {
		return nil, err
	}
	return index, nil
}

func decode(raw []byte, into any) error {
	if len(raw) > MaxDocumentBytes {
		return errs.New(errs.KindConfig, fmt.Sprintf("document has %d bytes, limit is %d", len(raw), MaxDocumentBytes), "split it into more shards")
	}
	err := decodeStrict(raw, into)
	if errors.Is(err, io.EOF) {
		return errs.New(errs.KindConfig, "document is empty", remedyFixAndPublish)
	}
	if err != nil {
		return errs.Wrap(err, errs.KindConfig, "cannot parse document", remedyFixAndPublish)
	}
	return nil
}

// decodeStrict rejects unknown fields. A document that starts with {" is
// decoded as JSON, any other as YAML.
func decodeStrict(raw []byte, into any) error {
	if bytes.HasPrefix(raw, []byte(`{"`)) {
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.DisallowUnknownFields()
		return decoder.Decode(into)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	return decoder.Decode(into)
}

// validator collects all validation errors of a document, so that they can be
// corrected in one pass.
type validator struct {
	faults []string
}

func (v *validator) addf(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

func (v *validator) err() error {
	if len(v.faults) == 0 {
		return nil
	}
	return errs.New(errs.KindConfig, strings.Join(v.faults, "; "), remedyFixAndPublish)
}

func (v *validator) document(doc *Document) {
	names := make(map[string]bool)
	backends := 0
	for i := range doc.Services {
		svc := &doc.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		v.name(path+".name", svc.Name, names)
		svc.setDefaults()
		v.service(path, svc)
		backends += len(svc.Backends)
	}
	v.sharedRoutes(doc.Routes, names)
	v.customers(doc.Customers)
	if backends > MaxBackendsPerShard {
		v.addf("document has %d backend servers, limit is %d", backends, MaxBackendsPerShard)
	}
}

// sharedRoutes validates document-level routes, which name their target services.
func (v *validator) sharedRoutes(routes []Route, services map[string]bool) {
	for i, r := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.route(path, r)
		total := 0
		for _, share := range r.Split {
			if !services[share.Service] {
				v.addf("%s.split: service %q is not declared", path, share.Service)
			}
			if share.Weight < 0 {
				v.addf("%s.split: weight %d is negative", path, share.Weight)
			}
			total += share.Weight
		}
		if total <= 0 {
			v.addf("%s.split: at least one service must have a positive weight", path)
		}
	}
}

func (v *validator) route(path string, r Route) {
	if !strings.HasPrefix(r.Path, "/") {
		v.addf("%s.path: %q must start with /", path, r.Path)
	}
	if r.Timeout < 0 || time.Duration(r.Timeout) > MaxTimeout {
		v.addf("%s.timeout: %s is outside 0 to %s", path, time.Duration(r.Timeout), MaxTimeout)
	}
	v.inRange(path+".attempts", r.Attempts, 0, MaxAttempts)
}

func (v *validator) identifier(path, name string) {
	if name == "" || strings.ContainsAny(name, "/ \t\n") {
		v.addf("%s: %q must be non-empty and contain no slash or whitespace", path, name)
	}
}

func (v *validator) name(path, name string, seen map[string]bool) {
	v.identifier(path, name)
	if seen[name] {
		v.addf("%s: duplicate value %q", path, name)
	}
	seen[name] = true
}

func (v *validator) hostEntry(path string, h ListedHost, seen map[string]bool) {
	v.name(path+".name", h.Name, seen)
	v.address(path+".address", h.Address)
	if h.DataCentre == "" {
		v.addf("%s.data_centre: must be set", path)
	}
}

func (v *validator) address(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		v.addf("%s: %q must be IP:port", path, address)
	}
}

func (v *validator) inRange(path string, value, low, high int) {
	if value < low || value > high {
		v.addf("%s: %d is outside %d to %d", path, value, low, high)
	}
}

func (v *validator) service(path string, svc *Service) {
	v.inRange(path+".floor", svc.Floor, 0, len(svc.Backends))
	v.inRange(path+".slots", svc.Slots, 1, MaxSlots)
	v.inRange(path+".queue", svc.Queue, 0, MaxSlots)
	v.duration(path+".timeout", svc.Timeout)
	v.duration(path+".queue_wait", svc.QueueWait)
	if !(svc.ColdPerSecond >= 0) {
		v.addf("%s.cold_per_second: %g must be a non-negative number", path, svc.ColdPerSecond)
	}
	if svc.Detection != DetectionFast && svc.Detection != DetectionCareful {
		v.addf("%s.detection: %q must be %s", path, svc.Detection, allowedDetectionText)
	}
	if !strings.HasPrefix(svc.Probe.Path, "/") {
		v.addf("%s.probe.path: %q must start with /", path, svc.Probe.Path)
	}
	for i, route := range svc.Routes {
		v.route(fmt.Sprintf("%s.routes[%d]", path, i), route)
	}
	v.backends(path, svc)
}

func (v *validator) backends(path string, svc *Service) {
	ids := make(map[string]bool)
	addresses := make(map[string]bool)
	for i, b := range svc.Backends {
		backendPath := fmt.Sprintf("%s.backends[%d]", path, i)
		v.backend(backendPath, b, ids)
		if addresses[b.Address] {
			v.addf("%s.address: duplicate value %q", backendPath, b.Address)
		}
		addresses[b.Address] = true
	}
}

func (v *validator) backend(path string, b Backend, ids map[string]bool) {
	v.name(path+".id", b.ID, ids)
	v.address(path+".address", b.Address)
	v.inRange(path+".slots", b.Slots, 1, MaxSlots)
}

func (v *validator) duration(path string, d Duration) {
	value := time.Duration(d)
	if value < minDuration || value > MaxTimeout {
		v.addf("%s: %s is outside %s to %s", path, value, minDuration, MaxTimeout)
	}
}

func (s *Service) setDefaults() {
	if s.Detection == "" {
		s.Detection = DefaultDetection
	}
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.Timeout == 0 {
		s.Timeout = Duration(DefaultTimeout)
	}
	if s.QueueWait == 0 {
		s.QueueWait = Duration(DefaultQueueWait)
	}
	if s.Probe.Path == "" {
		s.Probe.Path = DefaultProbePath
	}
	slots := 0
	for i := range s.Backends {
		if s.Backends[i].Slots == 0 {
			s.Backends[i].Slots = s.Slots
		}
		slots += s.Backends[i].Slots
	}
	if s.Queue == 0 {
		s.Queue = DefaultQueuePerSlot * slots
	}
}

// TotalSlots returns the sum of the slots of all backend servers.
func (s *Service) TotalSlots() int {
	total := 0
	for _, b := range s.Backends {
		total += b.Slots
	}
	return total
}

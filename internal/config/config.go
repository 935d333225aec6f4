// Package config reads the configuration that the platform publishes: the
// index of shards, the services of each shard, and the list of hosts.
// Documents are YAML, or JSON, which hosts read some ten times as fast; an unknown key or a value out of range refuses the whole
// document, so that a half-understood configuration is never in force.
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

// Defaults and bounds of a service.
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
	documentLimitBytes   = 1 << 20
	discoveredLimitBytes = 8 << 20 // 20,000 registered servers of at most 400 bytes
	remedyFixAndPublish  = "correct the document and publish it again; the last good one stays in force"
	allowedDetectionText = "fast or careful"
)

// Detection says which error a service would rather make.
type Detection string

// Detection policies.
const (
	// DetectionFast ejects on less evidence: shorter detection time.
	DetectionFast Detection = "fast"
	// DetectionCareful ejects on more evidence: fewer false ejections.
	DetectionCareful Detection = "careful"
)

// Duration is a time.Duration written as in "250ms".
type Duration time.Duration

// UnmarshalYAML parses the text form.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration such as 250ms or 5s", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalJSON parses the text form.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(string(raw), `"`))
	if err != nil {
		return fmt.Errorf("%s is not a duration such as \"250ms\" or \"5s\"", raw)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(`"` + time.Duration(d).String() + `"`), nil
}

// MarshalYAML writes the text form.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Backend is one backend server of a service.
type Backend struct {
	// ID is unique within the service.
	ID string `yaml:"id" json:"id,omitempty"`
	// Address is IP:port.
	Address string `yaml:"address" json:"address,omitempty"`
	// DataCentre is where the server runs.
	DataCentre string `yaml:"data_centre" json:"data_centre,omitempty"`
	// Slots is how many requests it serves at a time. Default: the service's.
	Slots int `yaml:"slots" json:"slots,omitempty"`
	// Leaving marks a server that gets no new work.
	Leaving bool `yaml:"leaving" json:"leaving,omitempty"`
	// Warmup is how much longer the server is slow after its start, as of when
	// it was published. Default: 0.
	Warmup Duration `yaml:"warmup" json:"warmup,omitempty"`
	// Started is when the server's process started, in Unix milliseconds. A change is a
	// restart under the same ID: nothing that was known of the server holds. Default: 0,
	// not told.
	Started int64 `yaml:"started" json:"started,omitempty"`
}

// SameProcess reports whether two entries of a server are of one process, as far as they
// tell.
func (b *Backend) SameProcess(other *Backend) bool {
	return b.Address == other.Address && (b.Started == other.Started || b.Started == 0 || other.Started == 0)
}

// Route maps requests to the service.
type Route struct {
	// Host is the request's host name, empty for any.
	Host string `yaml:"host" json:"host,omitempty"`
	// Path is a prefix of whole path segments.
	Path string `yaml:"path" json:"path,omitempty"`
	// Methods limits the route, empty for all.
	Methods []string `yaml:"methods" json:"methods,omitempty"`
	// Idempotent declares that running a request twice does no harm. Default:
	// false, also for GET.
	Idempotent bool `yaml:"idempotent" json:"idempotent,omitempty"`
	// Split spreads the requests over services by weight. Empty: all go to the
	// service that declares the route. Needed on a document's own routes.
	Split []Share `yaml:"split" json:"split,omitempty"`
	// Timeout bounds the time in which the caller gets a final answer. Default:
	// none beside the service's.
	Timeout Duration `yaml:"timeout" json:"timeout,omitempty"`
	// Attempts is how many backend servers may run one request. Default: 3.
	Attempts int `yaml:"attempts" json:"attempts,omitempty"`
	// Priority is the rank in overload, 0 the highest.
	Priority int `yaml:"priority" json:"priority,omitempty"`
	// Objective is the latency objective, the time in which an answer is worth
	// most to the caller. Default: none.
	Objective Duration `yaml:"objective" json:"objective,omitempty"`
	// Public routes need no customer's key.
	Public bool `yaml:"public" json:"public,omitempty"`
	// HomeRegions are the only regions in which requests may be run. Default: none, and
	// they may be run anywhere.
	HomeRegions []string `yaml:"home_regions" json:"home_regions,omitempty"`
}

// Share is one service's part of a split route.
type Share struct {
	Service string `yaml:"service" json:"service,omitempty"`
	// Weight is relative to the sum over the route. A weight of 0 gets nothing.
	Weight int `yaml:"weight" json:"weight,omitempty"`
}

// Probe is the request that checks a backend server.
type Probe struct {
	// Path of a GET. Default: /healthz. A path that does real work finds gray
	// faults which a health endpoint hides.
	Path string `yaml:"path" json:"path,omitempty"`
}

// Service is a set of backend servers behind a set of routes.
type Service struct {
	// Name is unique over all shards.
	Name string `yaml:"name" json:"name,omitempty"`
	// Floor is the least capacity, in backend servers, kept in rotation.
	Floor int `yaml:"floor" json:"floor,omitempty"`
	// Detection is fast or careful. Default: careful.
	Detection Detection `yaml:"detection" json:"detection,omitempty"`
	// Slots per backend server. Default: 4.
	Slots int `yaml:"slots" json:"slots,omitempty"`
	// Timeout of a request without a deadline of its own. Default: 5s.
	Timeout Duration `yaml:"timeout" json:"timeout,omitempty"`
	// Queue is how many requests may wait on one host. Default: 2 a slot.
	Queue int `yaml:"queue" json:"queue,omitempty"`
	// QueueWait is how long one request may wait. Default: 1s.
	QueueWait Duration `yaml:"queue_wait" json:"queue_wait,omitempty"`
	// SessionAffinity keeps a session on one backend server while it can.
	SessionAffinity bool `yaml:"session_affinity" json:"session_affinity,omitempty"`
	// AllowMissingEcho accepts answers without the request ID.
	AllowMissingEcho bool `yaml:"allow_missing_echo" json:"allow_missing_echo,omitempty"`
	// Probe checks suspect and ejected backend servers.
	Probe Probe `yaml:"probe" json:"probe,omitempty"`
	// ColdPerSecond is how many requests a second a server takes from all hosts together
	// while it is warming up after its start; it may end if it gets many more. Default: 0, no
	// limit.
	ColdPerSecond float64 `yaml:"cold_per_second" json:"cold_per_second,omitempty"`
	// Routes lead to the service.
	Routes []Route `yaml:"routes" json:"routes,omitempty"`
	// Backends serve it.
	Backends []Backend `yaml:"backends" json:"backends,omitempty"`
}

// Document is the value of one services/<shard> key.
type Document struct {
	Services []Service `yaml:"services" json:"services,omitempty"`
	// Routes lead to the services named in their Split.
	Routes []Route `yaml:"routes" json:"routes,omitempty"`
	// Customers are those who may ask for anything but public routes. Default: none,
	// and nobody needs a key.
	Customers []Customer `yaml:"customers" json:"customers,omitempty"`
}

// ListedHost is one row of the platform's host list.
type ListedHost struct {
	Name       string `yaml:"name" json:"name,omitempty"`
	Address    string `yaml:"address" json:"address,omitempty"` // IP:port of the peer listener
	DataCentre string `yaml:"data_centre" json:"data_centre,omitempty"`
	Leaving    bool   `yaml:"leaving" json:"leaving,omitempty"`
}

// HostList is the value of the hosts key. The list lags: a host that failed
// may still be in it.
type HostList struct {
	Hosts []ListedHost `yaml:"hosts" json:"hosts,omitempty"`
}

// Index is the value of the services/index key.
type Index struct {
	// Shards maps a shard to its revision.
	Shards map[string]uint64 `yaml:"shards" json:"shards,omitempty"`
}

// ParseDocument reads and checks a shard and fills in defaults.
func ParseDocument(raw []byte) (*Document, error) {
	doc := &Document{}
	if err := decode(raw, doc, documentLimitBytes); err != nil {
		return nil, err
	}
	check := &checker{}
	check.document(doc)
	if err := check.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// ParseHostList reads and checks the host list.
func ParseHostList(raw []byte) (*HostList, error) {
	list := &HostList{}
	if err := decode(raw, list, documentLimitBytes); err != nil {
		return nil, err
	}
	check := &checker{}
	seen := make(map[string]bool)
	for i, h := range list.Hosts {
		check.hostEntry(fmt.Sprintf("hosts[%d]", i), h, seen)
	}
	if err := check.err(); err != nil {
		return nil, err
	}
	return list, nil
}

// ParseIndex reads the index.
func ParseIndex(raw []byte) (*Index, error) {
	index := &Index{}
	if err := decode(raw, index, documentLimitBytes); err != nil {
		return nil, err
	}
	return index, nil
}

func decode(raw []byte, into any, limitBytes int) error {
	if len(raw) > limitBytes {
		return errs.New(errs.KindConfig, fmt.Sprintf("document has %d bytes, allowed are %d", len(raw), limitBytes), "split it into more shards")
	}
	err := decodeStrict(raw, into)
	if errors.Is(err, io.EOF) {
		return errs.New(errs.KindConfig, "document is empty", remedyFixAndPublish)
	}
	if err != nil {
		return errs.Wrap(err, errs.KindConfig, "document does not parse", remedyFixAndPublish)
	}
	return nil
}

// decodeStrict refuses unknown fields. JSON is told by its first two bytes.
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

// checker collects every fault of a document, so that one look mends it.
type checker struct {
	faults []string
}

func (c *checker) addf(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return errs.New(errs.KindConfig, strings.Join(c.faults, "; "), remedyFixAndPublish)
}

func (c *checker) document(doc *Document) {
	names := make(map[string]bool)
	backends := 0
	for i := range doc.Services {
		svc := &doc.Services[i]
		at := fmt.Sprintf("services[%d]", i)
		c.name(at+".name", svc.Name, names)
		svc.setDefaults()
		c.service(at, svc)
		backends += len(svc.Backends)
	}
	c.sharedRoutes(doc.Routes, names)
	c.customers(doc.Customers)
	if backends > MaxBackendsPerShard {
		c.addf("document has %d backend servers, allowed are %d", backends, MaxBackendsPerShard)
	}
}

// sharedRoutes checks the routes of a document, which name their services.
func (c *checker) sharedRoutes(routes []Route, services map[string]bool) {
	for i, r := range routes {
		at := fmt.Sprintf("routes[%d]", i)
		c.route(at, r)
		total := 0
		for _, share := range r.Split {
			if !services[share.Service] {
				c.addf("%s.split: service %q is not declared", at, share.Service)
			}
			if share.Weight < 0 {
				c.addf("%s.split: weight %d is negative", at, share.Weight)
			}
			total += share.Weight
		}
		if total <= 0 {
			c.addf("%s.split: no service has a weight above 0", at)
		}
	}
}

func (c *checker) route(at string, r Route) {
	if !strings.HasPrefix(r.Path, "/") {
		c.addf("%s.path: %q must start with /", at, r.Path)
	}
	if r.Timeout < 0 || time.Duration(r.Timeout) > MaxTimeout {
		c.addf("%s.timeout: %s is outside 0 to %s", at, time.Duration(r.Timeout), MaxTimeout)
	}
	c.between(at+".attempts", r.Attempts, 0, MaxAttempts)
}

func (c *checker) word(at, name string) {
	if name == "" || strings.ContainsAny(name, "/ \t\n") {
		c.addf("%s: %q must be a word without / or space", at, name)
	}
}

func (c *checker) name(at, name string, seen map[string]bool) {
	c.word(at, name)
	if seen[name] {
		c.addf("%s: %q stands twice", at, name)
	}
	seen[name] = true
}

func (c *checker) hostEntry(at string, h ListedHost, seen map[string]bool) {
	c.name(at+".name", h.Name, seen)
	c.address(at+".address", h.Address)
	if h.DataCentre == "" {
		c.addf("%s.data_centre: must be set", at)
	}
}

func (c *checker) address(at, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.addf("%s: %q must be IP:port", at, address)
	}
}

func (c *checker) between(at string, value, low, high int) {
	if value < low || value > high {
		c.addf("%s: %d is outside %d to %d", at, value, low, high)
	}
}

func (c *checker) service(at string, svc *Service) {
	c.between(at+".floor", svc.Floor, 0, len(svc.Backends))
	c.between(at+".slots", svc.Slots, 1, MaxSlots)
	c.between(at+".queue", svc.Queue, 0, MaxSlots)
	c.duration(at+".timeout", svc.Timeout)
	c.duration(at+".queue_wait", svc.QueueWait)
	if !(svc.ColdPerSecond >= 0) {
		c.addf("%s.cold_per_second: %g is negative or no number", at, svc.ColdPerSecond)
	}
	if svc.Detection != DetectionFast && svc.Detection != DetectionCareful {
		c.addf("%s.detection: %q must be %s", at, svc.Detection, allowedDetectionText)
	}
	if !strings.HasPrefix(svc.Probe.Path, "/") {
		c.addf("%s.probe.path: %q must start with /", at, svc.Probe.Path)
	}
	for i, route := range svc.Routes {
		c.route(fmt.Sprintf("%s.routes[%d]", at, i), route)
	}
	c.backends(at, svc)
}

func (c *checker) backends(at string, svc *Service) {
	ids := make(map[string]bool)
	addresses := make(map[string]bool)
	for i, b := range svc.Backends {
		where := fmt.Sprintf("%s.backends[%d]", at, i)
		c.backend(where, b, ids)
		if addresses[b.Address] {
			c.addf("%s.address: %q stands twice", where, b.Address)
		}
		addresses[b.Address] = true
	}
}

func (c *checker) backend(at string, b Backend, ids map[string]bool) {
	c.name(at+".id", b.ID, ids)
	c.address(at+".address", b.Address)
	c.between(at+".slots", b.Slots, 1, MaxSlots)
}

func (c *checker) duration(at string, d Duration) {
	value := time.Duration(d)
	if value < minDuration || value > MaxTimeout {
		c.addf("%s: %s is outside %s to %s", at, value, minDuration, MaxTimeout)
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

// TotalSlots is the capacity of all backend servers.
func (s *Service) TotalSlots() int {
	total := 0
	for _, b := range s.Backends {
		total += b.Slots
	}
	return total
}

// Package settings reads a host's settings file: YAML, strictly checked. What
// the fleet serves comes from the platform's configuration instead (package
// config).
package settings

import (
	"bytes"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// Defaults, with their units in the type.
const (
	DefaultTick            = 100 * time.Millisecond
	DefaultFreshness       = 1 * time.Second
	DefaultProbeInterval   = 1 * time.Second
	DefaultProbeTimeout    = 400 * time.Millisecond
	DefaultGossipInterval  = 100 * time.Millisecond
	DefaultClaimHorizon    = 30 * time.Second
	DefaultClaimTimeout    = 300 * time.Millisecond
	DefaultStopGrace       = 5 * time.Second
	DefaultStopTimeout     = 30 * time.Minute
	DefaultMaxHeaderBytes  = 64 << 10
	DefaultReadHeaderLimit = 5 * time.Second
	DefaultIdleLimit       = 120 * time.Second
	DefaultBodyIdleLimit   = 30 * time.Second
	DefaultEventRing       = 8192
	MaxBufferBytes         = 16 << 20
	maxCores               = 4096
	maxMemoryMB            = 16 << 20
	DefaultDirectAfter     = 2 * time.Second
	DefaultDirectSpread    = 3 * time.Second
)

// TLS names the files of a listener's keys.
type TLS struct {
	// CertFile and KeyFile are PEM files of this host.
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	// CAFile verifies the other side; needed for mutual TLS.
	CAFile string `yaml:"ca_file"`
}

// Enabled reports whether keys are configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Caller is the listener for callers.
type Caller struct {
	// Listen is IP:port.
	Listen string `yaml:"listen"`
	// ReadyListen is IP:port of a listener of its own for the balancer's
	// question whether this host is ready. Default: it is asked at Listen.
	ReadyListen string `yaml:"ready_listen"`
	// TLS is optional.
	TLS TLS `yaml:"tls"`
	// MaxHeaderBytes bounds a request's header. Default: 65536.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// ReadHeaderTimeout bounds the time for a header. Default: 5s.
	ReadHeaderTimeout config.Duration `yaml:"read_header_timeout"`
	// IdleTimeout closes unused connections. Default: 120s.
	IdleTimeout config.Duration `yaml:"idle_timeout"`
	// BodyIdleTimeout ends a request whose body brings nothing. Default: 30s.
	BodyIdleTimeout config.Duration `yaml:"body_idle_timeout"`
}

// Peer is the listener for other hosts, UDP and TCP on the same port.
type Peer struct {
	// Listen is IP:port.
	Listen string `yaml:"listen"`
	// Advertise is the address told to others. Default: Listen.
	Advertise string `yaml:"advertise"`
	// Seeds are addresses of some other hosts, used until the platform's list
	// is known.
	Seeds []string `yaml:"seeds"`
	// TLS secures synchronous calls, mutually.
	TLS TLS `yaml:"tls"`
	// DatagramKeyFile holds 32 random bytes in hex that encrypt datagrams.
	DatagramKeyFile string `yaml:"datagram_key_file"`
	// Insecure allows plaintext between hosts.
	Insecure bool `yaml:"insecure"`
}

// Operator is the listener for operators and metrics.
type Operator struct {
	Listen   string `yaml:"listen"`
	TLS      TLS    `yaml:"tls"`
	Insecure bool   `yaml:"insecure"`
}

// Platform is where the configuration is published.
type Platform struct {
	// Address is the base URL, such as http://10.0.0.1:8600.
	Address string `yaml:"address"`
	// Kind is documents for the product's own configuration service, store for
	// the users' key-value store. Default: documents.
	Kind string `yaml:"kind"`
	// DirectAfter is when a new host that has no configuration from peers asks
	// the platform itself; spread over DirectSpread. Sooner is ready sooner and
	// costs reads when the whole fleet restarts. Defaults: 2s and 3s.
	DirectAfter  config.Duration `yaml:"direct_after"`
	DirectSpread config.Duration `yaml:"direct_spread"`
}

// Kinds of platform.
const (
	PlatformDocuments = "documents"
	PlatformStore     = "store"
)

// Timing holds the control loop's intervals.
type Timing struct {
	// Tick is the interval of the systems. Default: 100ms.
	Tick config.Duration `yaml:"tick"`
	// Freshness is the pause after which a host refuses non-idempotent
	// requests until it has heard from the fleet again. Default: 1s.
	Freshness config.Duration `yaml:"freshness"`
	// ProbeInterval is the membership probe period. Shorter finds dead hosts
	// sooner and costs more datagrams. Default: 1s.
	ProbeInterval config.Duration `yaml:"probe_interval"`
	// ProbeTimeout is how long a direct probe waits before others are asked.
	// Default: 400ms.
	ProbeTimeout config.Duration `yaml:"probe_timeout"`
	// GossipInterval is the period of change datagrams. Default: 100ms.
	GossipInterval config.Duration `yaml:"gossip_interval"`
	// ClaimHorizon is how long a finished idempotency key is remembered. A
	// host younger than this abstains from claims. Default: 30s.
	ClaimHorizon config.Duration `yaml:"claim_horizon"`
	// ClaimTimeout bounds one claim. Default: 300ms.
	ClaimTimeout config.Duration `yaml:"claim_timeout"`
	// StopGrace is how long a stopping host goes on taking requests while the
	// balancer learns of the stop. Default: 5s.
	StopGrace config.Duration `yaml:"stop_grace"`
	// StopTimeout bounds a planned stop. Default: 30m.
	StopTimeout config.Duration `yaml:"stop_timeout"`
}

// Retry bounds the requests that are sent to a second backend server.
type Retry struct {
	// FleetShare is the part of a service's requests that all hosts together may
	// send again in a window, FleetReserve how many more. The hosts of a data
	// centre share its part. For direct picking only. Defaults: 0.1, 10, 10s.
	FleetShare   float64         `yaml:"fleet_share"`
	FleetReserve float64         `yaml:"fleet_reserve"`
	Window       config.Duration `yaml:"window"`
}

// Policy is how hosts that pick directly decide.
type Policy struct {
	// Without names mechanisms that are left out, to measure what they are worth; see
	// policy.Mechanisms. Default: none.
	Without []policy.Mechanism `yaml:"without"`
}

// Backend is how this host deals with backend servers.
type Backend struct {
	// DialTimeout bounds the start of a connection. Default: 1s.
	DialTimeout config.Duration `yaml:"dial_timeout"`
	// BufferBytes is the longest answer that is read whole before its caller
	// gets any of it, so that one that breaks off can be had elsewhere. More
	// costs memory and time to the first byte. Default: 0, none.
	BufferBytes int `yaml:"buffer_bytes"`
}

// Settings is the whole file.
type Settings struct {
	// Host is this host's unique name.
	Host string `yaml:"host"`
	// DataCentre is where the host stands.
	DataCentre string `yaml:"data_centre"`
	// Regions gives the region of each data centre, for requests that may be run in some
	// regions only. Default: none; such requests are refused then.
	Regions region.Map `yaml:"regions"`
	// Cores is the part of the machine's processor that this host may use, in cores. The
	// hosts that may use most read the platform for the others. Default: 0, not known.
	Cores float64 `yaml:"cores"`
	// MemoryMB is the memory that this host may use, in MiB. A quarter of it may hold bodies
	// of callers and backend servers that are slow. Default: 0, as for 512.
	MemoryMB float64  `yaml:"memory_mb"`
	Caller   Caller   `yaml:"caller"`
	Peer     Peer     `yaml:"peer"`
	Operator Operator `yaml:"operator"`
	Platform Platform `yaml:"platform"`
	Timing   Timing   `yaml:"timing"`
	Retry    Retry    `yaml:"retry"`
	Policy   Policy   `yaml:"policy"`
	Backend  Backend  `yaml:"backend"`
	// Forwarding sends requests to the owner hosts of their service. Default:
	// true. If false, every host picks by itself and the hosts tell each other
	// what they see.
	Forwarding *bool `yaml:"forwarding"`
}

// Load reads, checks and completes a file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "settings file cannot be read", "name a readable file with --settings")
	}
	return Parse(path, raw)
}

// Parse checks and completes the content of a file; name is for messages.
func Parse(name string, raw []byte) (*Settings, error) {
	s := &Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, name+" does not parse", "correct the named line; docs/SETTINGS.md lists every field")
	}
	s.SetDefaults()
	check := newChecker(name, raw)
	check.settings(s)
	return s, check.err()
}

// SetDefaults fills in what the file left out.
func (s *Settings) SetDefaults() {
	setString(&s.Peer.Advertise, s.Peer.Listen)
	setString(&s.Platform.Kind, PlatformDocuments)
	setDuration(&s.Platform.DirectAfter, DefaultDirectAfter)
	setDuration(&s.Platform.DirectSpread, DefaultDirectSpread)
	if s.Caller.MaxHeaderBytes == 0 {
		s.Caller.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if s.Forwarding == nil {
		forwarding := true
		s.Forwarding = &forwarding
	}
	setDuration(&s.Caller.ReadHeaderTimeout, DefaultReadHeaderLimit)
	setDuration(&s.Caller.IdleTimeout, DefaultIdleLimit)
	setDuration(&s.Caller.BodyIdleTimeout, DefaultBodyIdleLimit)
	rule := policy.DefaultRetryRule()
	if s.Retry.FleetShare == 0 && s.Retry.FleetReserve == 0 {
		s.Retry.FleetShare, s.Retry.FleetReserve = rule.Share, rule.Reserve
	}
	setDuration(&s.Retry.Window, rule.Window)
	setDuration(&s.Backend.DialTimeout, upstream.DefaultDialTimeout)
	setDuration(&s.Timing.Tick, DefaultTick)
	setDuration(&s.Timing.Freshness, DefaultFreshness)
	setDuration(&s.Timing.ProbeInterval, DefaultProbeInterval)
	setDuration(&s.Timing.ProbeTimeout, DefaultProbeTimeout)
	setDuration(&s.Timing.GossipInterval, DefaultGossipInterval)
	setDuration(&s.Timing.ClaimHorizon, DefaultClaimHorizon)
	setDuration(&s.Timing.ClaimTimeout, DefaultClaimTimeout)
	setDuration(&s.Timing.StopGrace, DefaultStopGrace)
	setDuration(&s.Timing.StopTimeout, DefaultStopTimeout)
}

func setString(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

func setDuration(field *config.Duration, value time.Duration) {
	if *field == 0 {
		*field = config.Duration(value)
	}
}

// checker collects faults with the line of their field.
type checker struct {
	name   string
	lines  map[string]int
	faults []string
}

func newChecker(name string, raw []byte) *checker {
	c := &checker{name: name, lines: make(map[string]int)}
	var root yaml.Node
	if err := yaml.Unmarshal(raw, &root); err == nil && len(root.Content) > 0 {
		c.index("", root.Content[0])
	}
	return c
}

// index notes the line of every field by its dotted path.
func (c *checker) index(prefix string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		path := prefix + node.Content[i].Value
		c.lines[path] = node.Content[i].Line
		c.index(path+".", node.Content[i+1])
	}
}

func (c *checker) addf(field, format string, args ...any) {
	where := c.name
	if line, ok := c.lines[field]; ok {
		where = fmt.Sprintf("%s:%d", c.name, line)
	}
	c.faults = append(c.faults, where+": "+field+": "+fmt.Sprintf(format, args...))
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return errs.New(errs.KindSettings, strings.Join(c.faults, "\n"), "correct the named fields; docs/SETTINGS.md gives each range")
}

func (c *checker) settings(s *Settings) {
	c.word("host", s.Host)
	c.word("data_centre", s.DataCentre)
	if !(s.MemoryMB >= 0 && s.MemoryMB <= maxMemoryMB) {
		c.addf("memory_mb", "%g is outside 0 to %d", s.MemoryMB, maxMemoryMB)
	}
	if !(s.Cores >= 0 && s.Cores <= maxCores) {
		c.addf("cores", "%g is outside 0 to %d", s.Cores, maxCores)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.Regions)) {
		c.word("regions."+dataCentre, s.Regions[dataCentre])
	}
	c.addresses(s)
	c.forwarding(s)
	c.secured("peer", s.Peer.TLS, s.Peer.Insecure)
	c.secured("operator", s.Operator.TLS, s.Operator.Insecure)
	if s.Peer.TLS.Enabled() && s.Peer.DatagramKeyFile == "" {
		c.addf("peer.datagram_key_file", "must be set beside peer.tls: name a file with 64 hex digits")
	}
	if !strings.HasPrefix(s.Platform.Address, "http://") && !strings.HasPrefix(s.Platform.Address, "https://") {
		c.addf("platform.address", "%q must be an http or https URL", s.Platform.Address)
	}
	if s.Platform.Kind != PlatformDocuments && s.Platform.Kind != PlatformStore {
		c.addf("platform.kind", "%q must be %s or %s", s.Platform.Kind, PlatformDocuments, PlatformStore)
	}
	if s.Caller.MaxHeaderBytes < 1<<10 || s.Caller.MaxHeaderBytes > 1<<20 {
		c.addf("caller.max_header_bytes", "%d is outside 1024 to 1048576", s.Caller.MaxHeaderBytes)
	}
	for _, m := range s.Policy.Without {
		if !slices.Contains(policy.Mechanisms(), m) {
			c.addf("policy.without", "%q is no mechanism; use some of %v", m, policy.Mechanisms())
		}
	}
	if s.Retry.FleetShare < 0 || s.Retry.FleetShare > 1 {
		c.addf("retry.fleet_share", "%g is outside 0 to 1", s.Retry.FleetShare)
	}
	if s.Retry.FleetReserve < 0 {
		c.addf("retry.fleet_reserve", "%g is negative", s.Retry.FleetReserve)
	}
	if s.Backend.BufferBytes < 0 || s.Backend.BufferBytes > MaxBufferBytes {
		c.addf("backend.buffer_bytes", "%d is outside 0 to %d", s.Backend.BufferBytes, MaxBufferBytes)
	}
	c.timing(s)
}

func (c *checker) word(field, value string) {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		c.addf(field, "%q must be a word without / or space", value)
	}
}

func (c *checker) addresses(s *Settings) {
	listeners := []struct{ field, address string }{
		{"caller.listen", s.Caller.Listen},
		{"peer.listen", s.Peer.Listen},
		{"operator.listen", s.Operator.Listen},
	}
	seen := make(map[string]string)
	for _, l := range listeners {
		c.address(l.field, l.address)
		parsed, err := netip.ParseAddrPort(l.address)
		if err != nil || parsed.Port() == 0 {
			continue
		}
		if other, ok := seen[l.address]; ok {
			c.addf(l.field, "%q is already the address of %s: give each listener its own", l.address, other)
		}
		seen[l.address] = l.field
	}
	c.address("peer.advertise", s.Peer.Advertise)
	if s.Caller.ReadyListen != "" {
		c.address("caller.ready_listen", s.Caller.ReadyListen)
	}
	for _, seed := range s.Peer.Seeds {
		c.address("peer.seeds", seed)
	}
}

// forwarding refuses owner hosts where their protocol does not carry what the
// platform's requests need: attempts and header names.
func (c *checker) forwarding(s *Settings) {
	if s.Platform.Kind == PlatformStore && *s.Forwarding {
		c.addf("forwarding", "must be false with platform.kind: %s: owner hosts do not speak that platform's protocol", PlatformStore)
	}
}

func (c *checker) address(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.addf(field, "%q must be IP:port", address)
	}
}

func (c *checker) secured(field string, keys TLS, insecure bool) {
	switch {
	case !keys.Enabled() && !insecure:
		c.addf(field+".tls", "must name cert_file, key_file and ca_file, or set %s.insecure: true to allow plaintext", field)
	case keys.Enabled() && (keys.KeyFile == "" || keys.CAFile == ""):
		c.addf(field+".tls", "must name key_file and ca_file beside cert_file")
	}
}

func (c *checker) timing(s *Settings) {
	ranges := []struct {
		field     string
		value     config.Duration
		low, high time.Duration
	}{
		{"caller.read_header_timeout", s.Caller.ReadHeaderTimeout, 100 * time.Millisecond, time.Minute},
		{"caller.idle_timeout", s.Caller.IdleTimeout, time.Second, time.Hour},
		{"caller.body_idle_timeout", s.Caller.BodyIdleTimeout, 100 * time.Millisecond, time.Hour},
		{"retry.window", s.Retry.Window, time.Second, time.Hour},
		{"backend.dial_timeout", s.Backend.DialTimeout, 10 * time.Millisecond, time.Minute},
		{"platform.direct_after", s.Platform.DirectAfter, time.Millisecond, time.Minute},
		{"platform.direct_spread", s.Platform.DirectSpread, time.Millisecond, time.Minute},
		{"timing.tick", s.Timing.Tick, 5 * time.Millisecond, time.Second},
		{"timing.freshness", s.Timing.Freshness, 100 * time.Millisecond, time.Minute},
		{"timing.probe_interval", s.Timing.ProbeInterval, 20 * time.Millisecond, time.Minute},
		{"timing.probe_timeout", s.Timing.ProbeTimeout, 5 * time.Millisecond, 30 * time.Second},
		{"timing.gossip_interval", s.Timing.GossipInterval, 5 * time.Millisecond, 10 * time.Second},
		{"timing.claim_horizon", s.Timing.ClaimHorizon, 10 * time.Millisecond, time.Hour},
		{"timing.claim_timeout", s.Timing.ClaimTimeout, 5 * time.Millisecond, 10 * time.Second},
		{"timing.stop_grace", s.Timing.StopGrace, time.Millisecond, 10 * time.Minute},
		{"timing.stop_timeout", s.Timing.StopTimeout, time.Millisecond, 24 * time.Hour},
	}
	for _, r := range ranges {
		value := time.Duration(r.value)
		if value < r.low || value > r.high {
			c.addf(r.field, "%s is outside %s to %s", value, r.low, r.high)
		}
	}
	if 2*s.Timing.ClaimTimeout > s.Timing.ClaimHorizon {
		c.addf("timing.claim_timeout", "%s must be at most half of timing.claim_horizon", time.Duration(s.Timing.ClaimTimeout))
	}
	if s.Timing.ProbeTimeout >= s.Timing.ProbeInterval {
		c.addf("timing.probe_timeout", "%s must be shorter than timing.probe_interval", time.Duration(s.Timing.ProbeTimeout))
	}
}

// Package settings parses and strictly validates a host's YAML settings file.
// The services that the fleet serves are configured by the platform instead; see
// package config.
package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pearshelf/pearshelf/internal/clientlimit"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/memory"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// Defaults and limits.
const (
	DefaultTick              = 100 * time.Millisecond
	DefaultFreshness         = 1 * time.Second
	DefaultProbeInterval     = 1 * time.Second
	DefaultProbeTimeout      = 400 * time.Millisecond
	DefaultGossipInterval    = 100 * time.Millisecond
	DefaultClaimHorizon      = 30 * time.Second
	DefaultClaimTimeout      = 300 * time.Millisecond
	DefaultStopGrace         = 5 * time.Second
	DefaultStopTimeout       = 30 * time.Minute
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 120 * time.Second
	DefaultBodyIdleTimeout   = 30 * time.Second
	DefaultEventLogCapacity  = 8192
	MaxBufferBytes           = 16 << 20
	DefaultQuotaWindow       = 5 * time.Second
	maxQuotaSlack            = 1e6
	maxQuotaExcess           = 10
	maxCores                 = 4096
	maxMemoryMB              = 16 << 20
	minDescriptors           = 64
	MaxDescriptors           = 1 << 20
	DefaultDirectAfter       = 2 * time.Second
	DefaultDirectSpread      = 3 * time.Second
	minDeferralRatio         = 1.5
	maxDeferralRatio         = 100.0
)

// TLS holds the paths of a listener's certificate and key files.
type TLS struct {
	// CertFile and KeyFile are this host's certificate and private key in PEM
	// format.
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	// CAFile holds the CA certificates that verify the remote end; required for
	// mutual TLS.
	CAFile string `yaml:"ca_file"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Caller configures the listener for callers.
type Caller struct {
	// Listen is the IP:port to listen on.
	Listen string `yaml:"listen"`
	// ReadyListen is the IP:port of a separate listener for the load balancer's
	// readiness checks. Default: readiness is served on Listen.
	ReadyListen string `yaml:"ready_listen"`
	// TLS is optional on this listener.
	TLS TLS `yaml:"tls"`
	// MaxHeaderBytes limits the size of request headers. Default: 65536.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// ReadHeaderTimeout limits the time to read request headers. Default: 5s.
	ReadHeaderTimeout config.Duration `yaml:"read_header_timeout"`
	// IdleTimeout is the time after which idle connections are closed. Default:
	// 120s.
	IdleTimeout config.Duration `yaml:"idle_timeout"`
	// BodyIdleTimeout is the time without body data after which a request is
	// aborted. Default: 30s.
	BodyIdleTimeout config.Duration `yaml:"body_idle_timeout"`
}

// Peer configures the listener for other hosts: UDP and TCP on the same port.
type Peer struct {
	// Listen is the IP:port to listen on.
	Listen string `yaml:"listen"`
	// Advertise is the address announced to other hosts. Default: Listen.
	Advertise string `yaml:"advertise"`
	// Seeds are addresses of other hosts, used until the platform's host list is
	// available.
	Seeds []string `yaml:"seeds"`
	// TLS configures mutual TLS for synchronous calls.
	TLS TLS `yaml:"tls"`
	// DatagramKeyFile is the path of a file with the hex-encoded 32-byte key
	// that encrypts datagrams.
	DatagramKeyFile string `yaml:"datagram_key_file"`
	// Insecure permits plaintext traffic between hosts.
	Insecure bool `yaml:"insecure"`
}

// Operator configures the listener for operators and metrics.
type Operator struct {
	Listen   string `yaml:"listen"`
	TLS      TLS    `yaml:"tls"`
	Insecure bool   `yaml:"insecure"`
}

// Platform configures the source of the published configuration.
type Platform struct {
	// Address is the base URL, such as http://10.0.0.1:8600.
	Address string `yaml:"address"`
	// Kind is PlatformDocuments or PlatformStore. Default: documents.
	Kind string `yaml:"kind"`
	// DirectAfter is the time after which a new host that has received no
	// configuration from peers queries the platform itself; the queries of the
	// hosts are spread over DirectSpread. Lower values make a host ready sooner but cause more reads
	// when the whole fleet restarts. Defaults: 2s and 3s.
	DirectAfter  config.Duration `yaml:"direct_after"`
	DirectSpread config.Duration `yaml:"direct_spread"`
}

// Platform kinds.
const (
	// PlatformDocuments is the product's own configuration service.
	PlatformDocuments = "documents"
	// PlatformStore is the users' key-value store.
	PlatformStore = "store"
)

// Timing holds the intervals and timeouts of the control loop.
type Timing struct {
	// Tick is the interval of the control loop. Default: 100ms.
	Tick config.Duration `yaml:"tick"`
	// Freshness is the length of a pause after which a host sends no
	// requests to backend servers until other hosts or the platform have
	// confirmed its server list and configuration. Default: 1s.
	Freshness config.Duration `yaml:"freshness"`
	// ProbeInterval is the interval of membership probes. Lower values detect
	// failed hosts sooner but send more datagrams. Default: 1s.
	ProbeInterval config.Duration `yaml:"probe_interval"`
	// ProbeTimeout is the time to wait for the reply to a direct probe before
	// indirect probes are requested from other hosts. Default: 400ms.
	ProbeTimeout config.Duration `yaml:"probe_timeout"`
	// GossipInterval is the interval of gossip datagrams. Default: 100ms.
	GossipInterval config.Duration `yaml:"gossip_interval"`
	// ClaimHorizon is the retention time of a completed idempotency key. A host
	// that has been running for less than this abstains from voting on claims of
	// keys; see package claims. Default: 30s.
	ClaimHorizon config.Duration `yaml:"claim_horizon"`
	// ClaimTimeout limits the duration of one claim. Default: 300ms.
	ClaimTimeout config.Duration `yaml:"claim_timeout"`
	// StopGrace is the time for which a stopping host still accepts requests
	// while the load balancer detects the stop. Default: 5s.
	StopGrace config.Duration `yaml:"stop_grace"`
	// StopTimeout limits the duration of a planned stop. Default: 30m.
	StopTimeout config.Duration `yaml:"stop_timeout"`
	// KillAfter is the time after SIGTERM at which the platform kills the process. A
	// stop by a signal ends shortly before it at the latest. A value that is too short
	// breaks off requests which could have been answered; with one that is too long
	// the process is killed before it has left the fleet. Default: 0, it is not killed.
	KillAfter config.Duration `yaml:"kill_after"`
}

// killMargin is how long before the platform kills it a stopping host ends by itself:
// time to close its connections and to leave the fleet.
const killMargin = 300 * time.Millisecond

// TerminationTimeout returns the limit of a stop that a signal has asked for.
func (t *Timing) TerminationTimeout() time.Duration {
	limit := time.Duration(t.StopTimeout)
	if t.KillAfter > 0 {
		limit = min(limit, time.Duration(t.KillAfter)-killMargin)
	}
	return limit
}

// ServingGrace returns for how long a stopping host accepts new requests. At least half
// of a stop is left for the requests in flight.
func (t *Timing) ServingGrace() time.Duration {
	return min(time.Duration(t.StopGrace), t.TerminationTimeout()/2)
}

// Retry configures the retry allowance: the requests that may be sent to another
// backend server.
type Retry struct {
	// FleetShare is the fraction of a service's requests that all hosts together
	// may retry in each Window; FleetReserve is the number of retries allowed on
	// top of it. The hosts of a data centre share that data centre's portion. Applies
	// only when forwarding is off. Defaults: 0.1, 10 and 10s.
	FleetShare   float64         `yaml:"fleet_share"`
	FleetReserve float64         `yaml:"fleet_reserve"`
	Window       config.Duration `yaml:"window"`
}

// Quota configures the enforcement of customers' limits.
type Quota struct {
	// Excess, Slack and Window are the tolerance of customers' limits: in each Window all hosts
	// together may let through Excess times what the rate allows and Slack requests beyond the
	// limit and its burst. Hosts use a part of it while they cannot know whether a limit is
	// reached. Defaults: 0 and 0, limits are exact; the window is 5s.
	Excess float64         `yaml:"excess"`
	Slack  float64         `yaml:"slack"`
	Window config.Duration `yaml:"window"`
}

// Policy configures backend selection when forwarding is off.
type Policy struct {
	// DisabledMechanisms lists mechanisms to disable, to measure their effect; see
	// policy.Mechanisms. Default: none.
	DisabledMechanisms []policy.Mechanism `yaml:"without"`
}

// Scheduling configures when requests are sent to backend servers, when forwarding is off.
type Scheduling struct {
	WaitQueue WaitQueue `yaml:"wait_queue"`
}

// WaitQueue configures the queue of requests that wait in the host for a free slot.
type WaitQueue struct {
	// Disabled sends or refuses such requests at once instead. Default: false.
	Disabled bool `yaml:"disabled"`
	// DeferralRatio is the multiple of a service's shortest latency objective from which on
	// requests wait for a free slot. Lower values make more routes wait. Default: 3.
	DeferralRatio float64 `yaml:"deferral_ratio"`
}

// DisabledMechanisms returns the mechanisms of the policy that the settings disable.
func (s *Settings) DisabledMechanisms() []policy.Mechanism {
	if !s.Scheduling.WaitQueue.Disabled {
		return s.Policy.DisabledMechanisms
	}
	return append(slices.Clone(s.Policy.DisabledMechanisms), policy.MechanismWaitQueue)
}

// Backend configures connections to backend servers.
type Backend struct {
	// DialTimeout limits the time to establish a connection. Default: 1s.
	DialTimeout config.Duration `yaml:"dial_timeout"`
	// LocalAddress is the IP address that connections to backend servers are opened from, for hosts
	// with several networks. Default: chosen by the system.
	LocalAddress string `yaml:"local_address"`
	// BufferBytes is the maximum size of a response that is buffered completely
	// before it is sent to the caller, so that a truncated response can be
	// retried on another server. Higher values increase memory use and time to
	// first byte. Default: 0, no buffering.
	BufferBytes int `yaml:"buffer_bytes"`
	// ReplayBytes is the maximum size of a streamed request body that is kept while it
	// is sent, so that another server can be sent the whole body after the first one
	// has shed the request. Smaller bodies, up to 64 KiB, are always kept. Higher
	// values let more uploads be retried and increase memory use. Default: 0, none.
	ReplayBytes int `yaml:"replay_bytes"`
}

// Settings is the content of a settings file.
type Settings struct {
	// Host is the unique name of this host.
	Host string `yaml:"host"`
	// DataCentre is the data centre that the host runs in.
	DataCentre string `yaml:"data_centre"`
	// Regions maps each data centre to its region, for requests that are
	// restricted to certain regions. Default: none, and such requests are
	// rejected.
	Regions region.Map `yaml:"regions"`
	// Cores is the number of CPU cores, possibly fractional, that this host may
	// use. The hosts with the most cores read the platform on behalf of the
	// others. Default: 0, unknown.
	Cores float64 `yaml:"cores"`
	// MemoryMB is the memory that this host may use, in MiB. Up to a quarter of
	// it holds request heads, and bodies for slow callers and backend servers. Default: 0, which
	// is treated as 512.
	MemoryMB float64 `yaml:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may have open. Connections
	// of callers take up to four tenths of them, those of other hosts up to two tenths; see
	// package clientlimit. A value above the process's limit lets clients take the descriptors
	// that connections to backend servers need. Default: 0, the limit of the process.
	MaxDescriptors int      `yaml:"max_descriptors"`
	Caller         Caller   `yaml:"caller"`
	Peer           Peer     `yaml:"peer"`
	Operator       Operator `yaml:"operator"`
	Platform       Platform `yaml:"platform"`
	Timing         Timing   `yaml:"timing"`
	Retry          Retry    `yaml:"retry"`
	Quota          Quota    `yaml:"quota"`
	Policy         Policy   `yaml:"policy"`
	Backend        Backend  `yaml:"backend"`
	// Scheduling applies only when forwarding is off.
	Scheduling Scheduling `yaml:"scheduling"`
	// Forwarding sends requests to the owner hosts of their service. If false,
	// each host selects backend servers itself and the hosts exchange their
	// observations. Default: true.
	Forwarding *bool `yaml:"forwarding"`
}

// MemoryBytes returns the memory that this host may use in bytes, 0 if it is unknown.
func (s *Settings) MemoryBytes() int64 { return int64(s.MemoryMB * (1 << 20)) }

// Load reads a settings file, applies defaults and validates it.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "cannot read settings file", "specify a readable file with --settings")
	}
	return Parse(path, raw)
}

// Parse parses the content of a settings file, applies defaults and validates
// it. The name is used in error messages.
func Parse(name string, raw []byte) (*Settings, error) {
	s := &Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, name+": cannot parse settings", "correct the reported line; docs/SETTINGS.md lists every field")
	}
	s.SetDefaults()
	check := newValidator(name, raw)
	check.settings(s)
	return s, check.err()
}

// SetDefaults sets omitted fields to their defaults.
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
	setDuration(&s.Caller.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	setDuration(&s.Caller.IdleTimeout, DefaultIdleTimeout)
	setDuration(&s.Caller.BodyIdleTimeout, DefaultBodyIdleTimeout)
	rule := policy.DefaultRetryRule()
	if s.Retry.FleetShare == 0 && s.Retry.FleetReserve == 0 {
		s.Retry.FleetShare, s.Retry.FleetReserve = rule.Share, rule.Reserve
	}
	setDuration(&s.Retry.Window, rule.Window)
	if s.Scheduling.WaitQueue.DeferralRatio == 0 {
		s.Scheduling.WaitQueue.DeferralRatio = policy.DefaultDeferralRatio
	}
	setDuration(&s.Quota.Window, DefaultQuotaWindow)
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

// validator collects validation errors with the line of the affected field.
type validator struct {
	name   string
	lines  map[string]int
	faults []string
}

func newValidator(name string, raw []byte) *validator {
	v := &validator{name: name, lines: make(map[string]int)}
	var root yaml.Node
	if err := yaml.Unmarshal(raw, &root); err == nil && len(root.Content) > 0 {
		v.index("", root.Content[0])
	}
	return v
}

// index records the line of every field by its dotted path.
func (v *validator) index(prefix string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		path := prefix + node.Content[i].Value
		v.lines[path] = node.Content[i].Line
		v.index(path+".", node.Content[i+1])
	}
}

func (v *validator) addf(field, format string, args ...any) {
	location := v.name
	if line, ok := v.lines[field]; ok {
		location = fmt.Sprintf("%s:%d", v.name, line)
	}
	v.faults = append(v.faults, location+": "+field+": "+fmt.Sprintf(format, args...))
}

func (v *validator) err() error {
	if len(v.faults) == 0 {
		return nil
	}
	return errs.New(errs.KindSettings, strings.Join(v.faults, "\n"), "correct the reported fields; docs/SETTINGS.md lists the valid ranges")
}

func (v *validator) settings(s *Settings) {
	v.identifier("host", s.Host)
	v.identifier("data_centre", s.DataCentre)
	if !(s.MemoryMB >= 0 && s.MemoryMB <= maxMemoryMB) {
		v.addf("memory_mb", "%g is outside 0 to %d", s.MemoryMB, maxMemoryMB)
	}
	if n := s.MaxDescriptors; n != 0 && (n < minDescriptors || n > MaxDescriptors) {
		v.addf("max_descriptors", "%d is outside %d to %d, or 0 for the limit of the process", n, minDescriptors, MaxDescriptors)
	}
	if !(s.Cores >= 0 && s.Cores <= maxCores) {
		v.addf("cores", "%g is outside 0 to %d", s.Cores, maxCores)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.Regions)) {
		v.identifier("regions."+dataCentre, s.Regions[dataCentre])
	}
	v.addresses(s)
	v.forwarding(s)
	v.requireTLS("peer", s.Peer.TLS, s.Peer.Insecure)
	v.requireTLS("operator", s.Operator.TLS, s.Operator.Insecure)
	if s.Peer.TLS.Enabled() && s.Peer.DatagramKeyFile == "" {
		v.addf("peer.datagram_key_file", "required when peer.tls is set: specify a file with 64 hex digits")
	}
	if !strings.HasPrefix(s.Platform.Address, "http://") && !strings.HasPrefix(s.Platform.Address, "https://") {
		v.addf("platform.address", "%q must be an http or https URL", s.Platform.Address)
	}
	if s.Platform.Kind != PlatformDocuments && s.Platform.Kind != PlatformStore {
		v.addf("platform.kind", "%q must be %s or %s", s.Platform.Kind, PlatformDocuments, PlatformStore)
	}
	if s.Caller.MaxHeaderBytes < 1<<10 || s.Caller.MaxHeaderBytes > 1<<20 {
		v.addf("caller.max_header_bytes", "%d is outside 1024 to 1048576", s.Caller.MaxHeaderBytes)
	}
	if needed := clientlimit.MinHostBytes(s.Caller.MaxHeaderBytes); needed > cmp.Or(s.MemoryBytes(), memory.DefaultHostBytes) {
		v.addf("caller.max_header_bytes", "%d needs a memory_mb of %d or more", s.Caller.MaxHeaderBytes, needed>>20+1)
	}
	for _, m := range s.Policy.DisabledMechanisms {
		if !slices.Contains(policy.Mechanisms(), m) {
			v.addf("policy.without", "unknown mechanism %q, valid mechanisms are %v", m, policy.Mechanisms())
		}
	}
	if s.Retry.FleetShare < 0 || s.Retry.FleetShare > 1 {
		v.addf("retry.fleet_share", "%g is outside 0 to 1", s.Retry.FleetShare)
	}
	if s.Retry.FleetReserve < 0 {
		v.addf("retry.fleet_reserve", "%g is negative", s.Retry.FleetReserve)
	}
	if ratio := s.Scheduling.WaitQueue.DeferralRatio; !(ratio >= minDeferralRatio && ratio <= maxDeferralRatio) {
		v.addf("scheduling.wait_queue.deferral_ratio", "%g is outside %g to %g", ratio, minDeferralRatio, maxDeferralRatio)
	}
	if !(s.Quota.Excess >= 0 && s.Quota.Excess <= maxQuotaExcess) {
		v.addf("quota.excess", "%g is outside 0 to %g: specify the permitted excess as a part of the limit, such as 0.25", s.Quota.Excess, float64(maxQuotaExcess))
	}
	if !(s.Quota.Slack >= 0 && s.Quota.Slack <= maxQuotaSlack) {
		v.addf("quota.slack", "%g is outside 0 to %g", s.Quota.Slack, float64(maxQuotaSlack))
	}
	if s.Backend.LocalAddress != "" {
		if _, err := netip.ParseAddr(s.Backend.LocalAddress); err != nil {
			v.addf("backend.local_address", "%q is not an IP address", s.Backend.LocalAddress)
		}
	}
	if s.Backend.BufferBytes < 0 || s.Backend.BufferBytes > MaxBufferBytes {
		v.addf("backend.buffer_bytes", "%d is outside 0 to %d", s.Backend.BufferBytes, MaxBufferBytes)
	}
	if s.Backend.ReplayBytes < 0 || s.Backend.ReplayBytes > MaxBufferBytes {
		v.addf("backend.replay_bytes", "%d is outside 0 to %d", s.Backend.ReplayBytes, MaxBufferBytes)
	}
	v.timing(s)
}

func (v *validator) identifier(field, value string) {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		v.addf(field, "%q must be non-empty and contain no slash or whitespace", value)
	}
}

func (v *validator) addresses(s *Settings) {
	listeners := []struct{ field, address string }{
		{"caller.listen", s.Caller.Listen},
		{"peer.listen", s.Peer.Listen},
		{"operator.listen", s.Operator.Listen},
	}
	seen := make(map[string]string)
	for _, l := range listeners {
		v.address(l.field, l.address)
		parsed, err := netip.ParseAddrPort(l.address)
		if err != nil || parsed.Port() == 0 {
			continue
		}
		if other, ok := seen[l.address]; ok {
			v.addf(l.field, "%q is already the address of %s: each listener requires its own address", l.address, other)
		}
		seen[l.address] = l.field
	}
	v.address("peer.advertise", s.Peer.Advertise)
	if s.Caller.ReadyListen != "" {
		v.address("caller.ready_listen", s.Caller.ReadyListen)
	}
	for _, seed := range s.Peer.Seeds {
		v.address("peer.seeds", seed)
	}
}

// forwarding rejects owner hosts on a platform whose requests need attempt
// numbers and header names that the owner protocol does not carry.
func (v *validator) forwarding(s *Settings) {
	if s.Platform.Kind == PlatformStore && *s.Forwarding {
		v.addf("forwarding", "must be false with platform.kind: %s: owner hosts do not support that platform's protocol", PlatformStore)
	}
}

func (v *validator) address(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		v.addf(field, "%q must be IP:port", address)
	}
}

func (v *validator) requireTLS(field string, keys TLS, insecure bool) {
	switch {
	case !keys.Enabled() && !insecure:
		v.addf(field+".tls", "cert_file, key_file and ca_file are required unless %s.insecure: true permits plaintext", field)
	case keys.Enabled() && (keys.KeyFile == "" || keys.CAFile == ""):
		v.addf(field+".tls", "key_file and ca_file are required with cert_file")
	}
}

func (v *validator) timing(s *Settings) {
	ranges := []struct {
		field     string
		value     config.Duration
		low, high time.Duration
	}{
		{"caller.read_header_timeout", s.Caller.ReadHeaderTimeout, 100 * time.Millisecond, time.Minute},
		{"caller.idle_timeout", s.Caller.IdleTimeout, time.Second, time.Hour},
		{"caller.body_idle_timeout", s.Caller.BodyIdleTimeout, 100 * time.Millisecond, time.Hour},
		{"retry.window", s.Retry.Window, time.Second, time.Hour},
		{"quota.window", s.Quota.Window, time.Second, time.Hour},
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
		{"timing.kill_after", s.Timing.KillAfter, 0, 24 * time.Hour},
	}
	for _, r := range ranges {
		value := time.Duration(r.value)
		if value < r.low || value > r.high {
			v.addf(r.field, "%s is outside %s to %s", value, r.low, r.high)
		}
	}
	if 2*s.Timing.ClaimTimeout > s.Timing.ClaimHorizon {
		v.addf("timing.claim_timeout", "%s must be at most half of timing.claim_horizon", time.Duration(s.Timing.ClaimTimeout))
	}
	if s.Timing.KillAfter > 0 && time.Duration(s.Timing.KillAfter) <= killMargin {
		v.addf("timing.kill_after", "%s must be more than %s, or 0 for a platform that kills no process", time.Duration(s.Timing.KillAfter), killMargin)
	}
	if s.Timing.ProbeTimeout >= s.Timing.ProbeInterval {
		v.addf("timing.probe_timeout", "%s must be shorter than timing.probe_interval", time.Duration(s.Timing.ProbeTimeout))
	}
}

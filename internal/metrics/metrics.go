// Package metrics defines the Prometheus metrics that a host exports on its
// operator listener.
package metrics

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of a host.
type Metrics struct {
	registerer       prometheus.Registerer
	latency          *prometheus.HistogramVec
	retries          *prometheus.CounterVec
	retryWaits       *prometheus.HistogramVec
	handoverAnswers  *prometheus.CounterVec
	handoverServers  prometheus.Counter
	requests         *prometheus.CounterVec
	addedLatency     *prometheus.HistogramVec
	observationsLost prometheus.Counter
	tickDuration     prometheus.Histogram
	membersLive      prometheus.Gauge
	platformCalls    *prometheus.CounterVec
	customerLimited  *prometheus.CounterVec
	serverEnds       *prometheus.CounterVec
	quarantined      *prometheus.CounterVec
	serverStates     *prometheus.CounterVec
	sendsWithheld    *prometheus.CounterVec
	rateLimited      *prometheus.CounterVec
	serverConns      *prometheus.CounterVec
	pathChecks       *prometheus.CounterVec
	pathLost         prometheus.Gauge
	relayed          *prometheus.CounterVec
	documentBytes    *prometheus.CounterVec
	waited           *prometheus.HistogramVec
	waitRefused      *prometheus.CounterVec
	awaited          *prometheus.CounterVec
	clientsRefused   *prometheus.CounterVec
}

// addedLatencyBuckets are histogram buckets in seconds, centred on the target of
// 1.2 ms.
var addedLatencyBuckets = []float64{0.0001, 0.0002, 0.0004, 0.0008, 0.0012, 0.002, 0.004, 0.008, 0.016, 0.064, 0.256, 1, 4}

// waitBuckets are histogram buckets in seconds, up to the objective of routes that wait.
var waitBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8}

// New creates the metrics and registers them with reg.
func New(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		registerer: reg,
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pearshelf_request_seconds",
			Help:    "Time to the final answer on the entry host, by service and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 12),
		}, []string{"service", "outcome"}),
		documentBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearshelf_document_sent_bytes_total",
			Help: "Bytes of documents and changes to them given to other hosts, before compression, by document.",
		}, []string{"document"}),
		handoverAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearshelf_handover_answers_total",
			Help: "Hosts that this host asked after its start for what they know of servers, by what came: used, young (not counted on) or none.",
		}, []string{"answer"}),
		handoverServers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearshelf_handover_servers_total",
			Help: "Backend servers of which this host learned from others after its start, counted once for each answer.",
		}),
		retryWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pearshelf_retry_wait_seconds",
			Help:    "Time that requests waited for a retry from another host, by service and whether one came.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.05, 0.1},
		}, []string{"service", "given"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearshelf_retries_total",
			Help: "Requests that could be sent again, by service and whether the allowance let them.",
		}, []string{"service", "allowed"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearshelf_requests_total",
			Help: "Requests from callers by service and outcome.",
		}, []string{"service", "outcome"}),
		addedLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pearshelf_added_seconds",
			Help:    "Time to the first byte less the backend server's own, by service.",
			Buckets: addedLatencyBuckets,
		}, []string{"service"}),
		observationsLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearshelf_observations_lost_total",
			Help: "Outcomes that the control loop was too slow to take.",
		}),
		tickDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "pearshelf_tick_seconds",
			Help:    "Duration of one tick of the control loop.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 8),
		}),
		membersLive: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pearshelf_hosts_live",
			Help: "Hosts held for alive.",
		}),
		platformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearshelf_platform_calls_total",
			Help: "Calls to the platform by result.",
		}, []string{"result"}),
		customerLimited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearshelf_limited_requests_total",
			Help: "Requests of customers that have a limit, by whether it let them.",
		}, []string{"allowed"}),
		serverEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearshelf_requests_at_ended_servers_total",
			Help: "Requests whose backend server ended while it had them, by service.",
		}, []string{"service"}),
		quarantined: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearshelf_quarantined_requests_total",
			Help: "Requests that were refused because servers end under them, by service.",
		}, []string{"service"}),
	}
	m.serverStates = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_server_states_total",
		Help: "Times that a backend server began to say of itself that it is leaving or wants rest.",
	}, []string{"state"})
	m.sendsWithheld = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_sends_withheld_total",
		Help: "Sends that were stopped right before their first byte, because the server had meanwhile said that it is leaving or wants rest, had no room in its rate limit, or left the rotation.",
	}, []string{"reason"})
	m.rateLimited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_rate_limited_sends_total",
		Help: "Sends to backend servers that name a rate limit, by whether it had room.",
	}, []string{"allowed"})
	m.serverConns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_server_connections_total",
		Help: "Attempts to open a connection to a backend server, by result: established, refused, timeout or error.",
	}, []string{"result"})
	m.pathChecks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_path_checks_total",
		Help: "Connections opened to backend servers to find out whether this host reaches them, by result.",
	}, []string{"reached"})
	m.pathLost = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "pearshelf_path_lost",
		Help: "1 while this host reaches no backend server, otherwise 0.",
	})
	m.relayed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_relayed_requests_total",
		Help: "Requests offered to another host because this one does not reach backend servers, by result: answered, declined or failed.",
	}, []string{"result"})
	m.waited = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "pearshelf_wait_seconds",
		Help:    "Time that requests waited in this host for a free slot of a backend server, by service and result: sent, refused or left.",
		Buckets: waitBuckets,
	}, []string{"service", "result"})
	m.waitRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_wait_refused_total",
		Help: "Requests that were refused because of the queue for free slots, by service and reason: no-time, expired or full.",
	}, []string{"service", "reason"})
	m.awaited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_requests_awaiting_configuration_total",
		Help: "Requests that arrived before the first configuration, by result: admitted, no_room, expired, stopped or left.",
	}, []string{"result"})
	m.clientsRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearshelf_clients_refused_total",
		Help: "Requests refused and connections closed because clients took too much, by listener and what was lacking: memory or connections.",
	}, []string{"listener", "lack"})
	reg.MustRegister(m.clientsRefused, m.waited, m.waitRefused, m.awaited, m.relayed, m.pathChecks, m.pathLost, m.serverConns, m.rateLimited, m.documentBytes, m.serverStates, m.sendsWithheld, m.customerLimited, m.serverEnds, m.quarantined, m.requests, m.latency, m.retries, m.retryWaits, m.handoverAnswers, m.handoverServers, m.addedLatency, m.observationsLost, m.tickDuration, m.membersLive, m.platformCalls)
	return m
}

// AwaitedConfiguration counts a request that arrived before the first configuration, by result.
func (m *Metrics) AwaitedConfiguration(result string) { m.awaited.WithLabelValues(result).Inc() }

// ClientRefused counts a request that was refused, or a connection that was closed, for lack of memory or connections.
func (m *Metrics) ClientRefused(listener, lack string) {
	m.clientsRefused.WithLabelValues(listener, lack).Inc()
}

// Request records a completed request and its duration.
func (m *Metrics) Request(service, outcome string, took time.Duration) {
	m.requests.WithLabelValues(service, outcome).Inc()
	m.latency.WithLabelValues(service, outcome).Observe(took.Seconds())
}

// Retry counts a request that was eligible for a retry, by whether the host's retry
// budget or, without forwarding, the retry allowance of the fleet permitted it.
func (m *Metrics) Retry(service string, allowed bool) {
	m.retries.WithLabelValues(service, strconv.FormatBool(allowed)).Inc()
}

// RetryWait records how long a request waited for a retry from another host.
func (m *Metrics) RetryWait(service string, took time.Duration, given bool) {
	m.retryWaits.WithLabelValues(service, strconv.FormatBool(given)).Observe(took.Seconds())
}

// HandoverAnswer counts a host that was asked for what it knows of servers.
func (m *Metrics) HandoverAnswer(answered, used bool) {
	label := "none"
	switch {
	case used:
		label = "used"
	case answered:
		label = "young"
	}
	m.handoverAnswers.WithLabelValues(label).Inc()
}

// HandoverDone adds the servers of which this host learned from others.
func (m *Metrics) HandoverDone(servers int) { m.handoverServers.Add(float64(servers)) }

// RegisterDroppedLogLines exports the number of dropped log lines.
func (m *Metrics) RegisterDroppedLogLines(dropped func() int64) {
	m.registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "pearshelf_log_lines_dropped_total",
		Help: "Log lines that a slow reader of standard output had no room for.",
	}, func() float64 { return float64(dropped()) }))
}

// ServerCrashed counts a request whose backend server terminated while processing
// it.
func (m *Metrics) ServerCrashed(service string) { m.serverEnds.WithLabelValues(service).Inc() }

// Quarantined counts a request that was rejected because requests of its kind
// make backend servers terminate.
func (m *Metrics) Quarantined(service string) { m.quarantined.WithLabelValues(service).Inc() }

// ServerStateReported counts a backend server that began to report the given state about
// itself.
func (m *Metrics) ServerStateReported(state string) { m.serverStates.WithLabelValues(state).Inc() }

// SendWithheld counts a send that was cancelled just before its first byte.
func (m *Metrics) SendWithheld(reason string) { m.sendsWithheld.WithLabelValues(reason).Inc() }

// RateLimited counts a send to a backend server that advertises a rate limit, by
// whether the limit allowed it.
func (m *Metrics) RateLimited(allowed bool) {
	m.rateLimited.WithLabelValues(strconv.FormatBool(allowed)).Inc()
}

// ServerConnection counts an attempt to open a connection to a backend server. err is nil if it
// was established. Attempts that this host cancelled are not counted.
func (m *Metrics) ServerConnection(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	m.serverConns.WithLabelValues(connectionResult(err)).Inc()
}

func connectionResult(err error) string {
	var netErr net.Error
	switch {
	case err == nil:
		return "established"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	default:
		return "error"
	}
}

// PathCheck counts a connection that was opened to a backend server to find out whether this host
// reaches it.
func (m *Metrics) PathCheck(reached bool) {
	m.pathChecks.WithLabelValues(strconv.FormatBool(reached)).Inc()
}

// SetPathLost sets whether this host has lost its path to the backend servers.
func (m *Metrics) SetPathLost(lost bool) {
	value := 0.0
	if lost {
		value = 1
	}
	m.pathLost.Set(value)
}

// Relayed counts a request that was offered to another host, by result.
func (m *Metrics) Relayed(result string) { m.relayed.WithLabelValues(result).Inc() }

// Waited records the time that a request waited in this host for a free slot, and how that ended.
func (m *Metrics) Waited(service, result string, took time.Duration) {
	m.waited.WithLabelValues(service, result).Observe(took.Seconds())
}

// WaitRefused counts a request that was refused because of the queue for free slots.
func (m *Metrics) WaitRefused(service, reason string) {
	m.waitRefused.WithLabelValues(service, reason).Inc()
}

// RegisterWaiting exports what waits for free slots now.
func (m *Metrics) RegisterWaiting(usage func() (requests int, bytes int64)) {
	m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pearshelf_waiting_requests",
		Help: "Requests that wait in this host for a free slot of a backend server.",
	}, func() float64 {
		requests, _ := usage()
		return float64(requests)
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pearshelf_waiting_bytes",
		Help: "Memory of the requests that wait in this host, as counted towards its bound.",
	}, func() float64 {
		_, bytes := usage()
		return float64(bytes)
	}))
}

// AddedLatency records the latency that the fleet added to a request on this host.
func (m *Metrics) AddedLatency(service string, d time.Duration) {
	m.addedLatency.WithLabelValues(service).Observe(d.Seconds())
}

// ObservationLost counts a request outcome that was dropped because the control
// loop did not keep up.
func (m *Metrics) ObservationLost() { m.observationsLost.Inc() }

// TickDuration records the duration of one tick of the control loop.
func (m *Metrics) TickDuration(d time.Duration) { m.tickDuration.Observe(d.Seconds()) }

// SetLiveHosts sets the number of live hosts.
func (m *Metrics) SetLiveHosts(n int) { m.membersLive.Set(float64(n)) }

// PlatformCall counts a call to the platform.
func (m *Metrics) PlatformCall(err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.platformCalls.WithLabelValues(result).Inc()
}

// RegisterHeldBytes exports the number of body bytes that the host buffers.
func (m *Metrics) RegisterHeldBytes(held func() int64) {
	m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pearshelf_held_bytes",
		Help: "Bytes of request heads and of bodies that this host holds for callers and backend servers.",
	}, func() float64 { return float64(held()) }))
}

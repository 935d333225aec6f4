// Package event defines the numbered events of the fleet. Each host keeps its newest events in a ring
// buffer; the fleet-wide timeline is merged from these buffers.
package event

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/hlc"
)

// Number identifies a kind of event. Numbers are never reused.
type Number uint32

// Event numbers. docs/EVENTS.md documents each; a test verifies that the two agree.
const (
	HostStarted          Number = 101
	HostReady            Number = 102
	HostStopping         Number = 103
	HostStopped          Number = 104
	HostPaused           Number = 105
	HostFresh            Number = 106
	InsecureListener     Number = 107
	ClientLimitReached   Number = 108
	ClientLimitEnded     Number = 109
	MemberJoined         Number = 201
	MemberSuspect        Number = 202
	MemberDead           Number = 203
	MemberLeft           Number = 204
	MemberAlive          Number = 205
	MemberRefuted        Number = 206
	ConfigApplied        Number = 301
	ConfigRefused        Number = 302
	ConfigOlderIgnored   Number = 303
	PlatformLost         Number = 304
	PlatformBack         Number = 305
	ListIncomplete       Number = 306
	ReadingBegan         Number = 307
	ReadingEnded         Number = 308
	BackendSuspect       Number = 401
	BackendCleared       Number = 402
	BackendVoted         Number = 403
	BackendVoteEnded     Number = 404
	BackendEjected       Number = 405
	BackendReturned      Number = 406
	BackendKeptForFloor  Number = 407
	BackendLeaving       Number = 408
	BackendPathFault     Number = 409
	HostDistrustsItself  Number = 410
	BackendMisregistered Number = 411
	BackendResting       Number = 412
	BackendAvailable     Number = 413
	BackendLimited       Number = 414
	BackendUnlimited     Number = 415
	BackendKeptAbsent    Number = 416
	EvacuationBegan      Number = 417
	EvacuationEnded      Number = 418
	PathLost             Number = 419
	PathRegained         Number = 420
	DirectiveAccepted    Number = 501
	DirectiveRefused     Number = 502
	DirectiveMerged      Number = 503
	RegisterFromFuture   Number = 504
	AnswerWrong          Number = 601
	RequestDuplicate     Number = 602
	DownloadResumed      Number = 603
	ObservationsLost     Number = 604
	ContentQuarantined   Number = 605
	ContentCleared       Number = 606
)

var eventNames = map[Number]string{
	HostStarted:          "host-started",
	HostReady:            "host-ready",
	HostStopping:         "host-stopping",
	HostStopped:          "host-stopped",
	HostPaused:           "host-paused",
	HostFresh:            "host-fresh",
	InsecureListener:     "insecure-listener",
	ClientLimitReached:   "client-limit-reached",
	ClientLimitEnded:     "client-limit-ended",
	MemberJoined:         "member-joined",
	MemberSuspect:        "member-suspect",
	MemberDead:           "member-dead",
	MemberLeft:           "member-left",
	MemberAlive:          "member-alive",
	MemberRefuted:        "member-refuted",
	ConfigApplied:        "config-applied",
	ConfigRefused:        "config-refused",
	ConfigOlderIgnored:   "config-older-ignored",
	PlatformLost:         "platform-lost",
	PlatformBack:         "platform-back",
	ListIncomplete:       "list-incomplete",
	ReadingBegan:         "reading-began",
	ReadingEnded:         "reading-ended",
	BackendSuspect:       "backend-suspect",
	BackendCleared:       "backend-cleared",
	BackendVoted:         "backend-voted",
	BackendVoteEnded:     "backend-vote-ended",
	BackendEjected:       "backend-ejected",
	BackendReturned:      "backend-returned",
	BackendKeptForFloor:  "backend-kept-for-floor",
	BackendLeaving:       "backend-leaving",
	BackendPathFault:     "backend-path-fault",
	HostDistrustsItself:  "host-distrusts-itself",
	BackendMisregistered: "backend-misregistered",
	BackendResting:       "backend-resting",
	BackendAvailable:     "backend-available",
	BackendLimited:       "backend-limited",
	BackendUnlimited:     "backend-unlimited",
	BackendKeptAbsent:    "backend-kept-absent",
	EvacuationBegan:      "evacuation-began",
	EvacuationEnded:      "evacuation-ended",
	PathLost:             "path-lost",
	PathRegained:         "path-regained",
	DirectiveAccepted:    "directive-accepted",
	DirectiveRefused:     "directive-refused",
	DirectiveMerged:      "directive-merged",
	RegisterFromFuture:   "register-from-future",
	AnswerWrong:          "answer-wrong",
	RequestDuplicate:     "request-duplicate",
	DownloadResumed:      "download-resumed",
	ObservationsLost:     "observations-lost",
	ContentQuarantined:   "content-quarantined",
	ContentCleared:       "content-cleared",
}

// String returns the name of the event kind.
func (n Number) String() string { return eventNames[n] }

// Numbers returns all event numbers in ascending order.
func Numbers() []Number {
	numbers := make([]Number, 0, len(eventNames))
	for n := range eventNames {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// Event is one entry of the timeline.
type Event struct {
	Number Number
	// Clock orders events across all hosts. A cause is ordered before its effects.
	Clock hlc.Timestamp
	// Host is the host on which the event occurred.
	Host string
	// Service and Backend are empty if the event does not concern a service or a backend server.
	Service string
	Backend string
	// Detail is a human-readable description of one line.
	Detail string
}

// Compare orders events by clock, then host, then number.
func Compare(a, b Event) int {
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Number, b.Number))
}

// Recorder records events.
type Recorder interface {
	Record(n Number, service, backend, detail string)
}

// Log keeps the newest events of a host in a ring buffer and writes each event to the host's log.
type Log struct {
	host  string
	clock *hlc.Clock

	mu   sync.Mutex
	ring []Event
	next int // index of the oldest event once the ring is full
}

// NewLog returns a Log that keeps up to size events of one host.
func NewLog(host string, clock *hlc.Clock, size int) *Log {
	return &Log{host: host, clock: clock, ring: make([]Event, 0, size)}
}

// Record adds an event with the current time of the host's clock.
func (l *Log) Record(n Number, service, backend, detail string) {
	l.Add(Event{
		Number:  n,
		Clock:   l.clock.Now(time.Now()),
		Host:    l.host,
		Service: service,
		Backend: backend,
		Detail:  detail,
	})
}

// maxDetailBytes is the length from which on details are cut. They may name request IDs, which callers choose.
const maxDetailBytes = 1 << 10

// Add stores an event that already has a timestamp. If the ring is full, the event replaces the oldest
// one.
func (l *Log) Add(e Event) {
	e.Detail = limited(e.Detail)
	klog.InfoS(e.Number.String(), "event", uint32(e.Number), "host", e.Host, "service", e.Service, "backend", e.Backend, "detail", e.Detail)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
}

// limited returns a detail as it is kept: of limited length, and valid UTF-8, as calls require.
func limited(detail string) string {
	if len(detail) > maxDetailBytes {
		detail = strings.Clone(detail[:maxDetailBytes]) + "..."
	}
	return strings.ToValidUTF8(detail, "?")
}

// Since returns the events not older than start, sorted by Compare.
func (l *Log) Since(start time.Time) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := hlc.FromTime(start)
	var events []Event
	for _, e := range l.ring {
		if e.Clock >= oldest {
			events = append(events, e)
		}
	}
	slices.SortFunc(events, Compare)
	return events
}

var _ Recorder = (*Log)(nil)

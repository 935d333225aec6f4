package daemon

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/bus"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/metrics"
)

// observationQueue is the capacity of the queue to the control loop.
const observationQueue = 16384

// observer passes request outcomes to the control loop in batches. Observe never
// blocks; observations that exceed the queue are counted and dropped.
type observer struct {
	queue    chan *peerpb.Observation
	bus      *bus.Bus
	metrics  *metrics.Metrics
	events   event.Recorder
	interval time.Duration
	lost     atomic.Int64
	// disabled is set if the control loop does not use outcomes.
	disabled bool
}

func newObserver(b *bus.Bus, m *metrics.Metrics, events event.Recorder, every time.Duration) *observer {
	return &observer{queue: make(chan *peerpb.Observation, observationQueue), bus: b, metrics: m, events: events, interval: every}
}

// Observe queues one outcome.
func (o *observer) Observe(observation *peerpb.Observation) {
	if o.disabled {
		return
	}
	select {
	case o.queue <- observation:
	default:
		o.metrics.ObservationLost()
		o.lost.Add(1)
	}
}

func (o *observer) run(ctx context.Context) {
	runEvery(ctx, o.interval, o.flush)
}

func (o *observer) flush() {
	if lost := o.lost.Swap(0); lost > 0 {
		o.events.Record(event.ObservationsLost, "", "", strconv.FormatInt(lost, 10))
	}
	batch := &peerpb.Observations{}
	for range len(o.queue) {
		batch.Observations = append(batch.Observations, <-o.queue)
	}
	if len(batch.Observations) == 0 {
		return
	}
	raw, err := proto.Marshal(batch)
	if err != nil {
		return
	}
	o.bus.Publish(bus.TopicObservations, raw)
}

// Interface guard.
var _ dispatch.Observer = (*observer)(nil)

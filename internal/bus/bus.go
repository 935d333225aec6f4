// Package bus carries the control plane's messages of one process over
// watermill topics. It stays off the request path.
package bus

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"k8s.io/klog/v2"
)

// Topic names a stream of messages.
type Topic string

// Topics.
const (
	TopicObservations Topic = "observations" // peerpb.Observations
	TopicDatagrams    Topic = "datagrams"    // peerpb.Datagram
	TopicDocuments    Topic = "documents"    // raw platform document
	TopicEvents       Topic = "events"       // adminpb.Event
)

// Metadata keys.
const (
	MetaAddress  = "address"
	MetaKey      = "key"
	MetaRevision = "revision"
)

const (
	bufferSize   = 1024
	closeTimeout = 2 * time.Second
)

// Bus is a watermill router over in-process channels.
type Bus struct {
	channel *gochannel.GoChannel
	router  *message.Router
}

// New returns a bus without handlers.
func New() (*Bus, error) {
	logger := watermill.NopLogger{}
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: closeTimeout}, logger)
	if err != nil {
		return nil, err
	}
	channel := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: bufferSize}, logger)
	return &Bus{channel: channel, router: router}, nil
}

// Handle adds the handler of a topic; call it before Run. An error is logged
// and the message dropped: control messages are repeated by their senders.
func (b *Bus) Handle(topic Topic, handle func(*message.Message) error) {
	b.router.AddConsumerHandler(string(topic), string(topic), b.channel, func(msg *message.Message) error {
		if err := handle(msg); err != nil {
			klog.V(2).InfoS("control message dropped", "topic", topic, "err", err)
		}
		return nil
	})
}

// Publish sends a payload with metadata given as key and value in turn.
func (b *Bus) Publish(topic Topic, payload []byte, metadata ...string) {
	msg := message.NewMessage(watermill.NewShortUUID(), payload)
	for i := 0; i+1 < len(metadata); i += 2 {
		msg.Metadata.Set(metadata[i], metadata[i+1])
	}
	if err := b.channel.Publish(string(topic), msg); err != nil {
		klog.V(2).InfoS("control message not published", "topic", topic, "err", err)
	}
}

// Run handles messages until ctx ends.
func (b *Bus) Run(ctx context.Context) error { return b.router.Run(ctx) }

// Running is closed once handlers are subscribed.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

// Close stops the handlers.
func (b *Bus) Close() {
	if err := b.router.Close(); err != nil {
		klog.V(2).InfoS("bus did not close cleanly", "err", err)
	}
	if err := b.channel.Close(); err != nil {
		klog.V(2).InfoS("bus channel did not close cleanly", "err", err)
	}
}

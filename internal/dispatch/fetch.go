package dispatch

import (
	"context"
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// answerKind says what an answer is to the request.
type answerKind int

const (
	answerOwn     answerKind = iota // the server's own, for this request
	answerNotRun                    // the server says that it did not run the request
	answerForeign                   // another request's, or not the server's
)

// fetched is what one send of a request brought.
type fetched struct {
	failure *upstream.Failure
	// answer is read whole if it is the request's own and fits the buffer.
	answer *upstream.Answer
	kind   answerKind
	// broken is why the answer broke off, nil if it did not.
	broken error
	// said is what the server says of itself with the answer.
	said protocol.ServerState
}

// good reports whether the caller can be answered with it.
func (f fetched) good() bool {
	return f.failure == nil && f.kind == answerOwn && f.broken == nil && f.answer.StatusCode < 500
}

// discard drops what nobody wants any more.
func (f fetched) discard() {
	if f.answer != nil {
		f.answer.Discard()
	}
}

// fetchApart is fetch on a goroutine of its own. A request that makes it panic fails alone:
// it comes again through other hosts, and would end each of them.
func (x *exchange) fetchApart(ctx context.Context, to destination) (got fetched) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "panic while a request was sent", "request", x.req.ID, "service", x.req.Service, "cause", cause, "stack", string(debug.Stack()))
			got = fetched{failure: upstream.Interrupted()}
		}
	}()
	return x.fetch(ctx, to)
}

// fetch sends the request once. It reads of the exchange only what does not
// change while the request is under way, so that copies can be under way beside it.
func (x *exchange) fetch(ctx context.Context, to destination) fetched {
	answer, said, failure := x.sendToServer(ctx, to)
	got := fetched{answer: answer, said: said, failure: failure}
	switch {
	case failure != nil:
	case x.isMisdirected(answer), x.d.marks.NotRunBy(answer.Header):
		got.kind = answerNotRun
	case !x.isAnswerTo(answer, to.view):
		got.kind = answerForeign
	default:
		got.broken = readWhole(answer, x.d.conf.BufferBytes, x.d.memory)
	}
	return got
}

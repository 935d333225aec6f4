package dispatch

import (
	"context"
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// responseKind classifies a response to a request.
type responseKind int

const (
	responseOwn        responseKind = iota // valid response of the server to this request
	responseNotRun                         // response to this request: the server did not run it
	responseMismatched                     // belongs to another request, or is not from the server
	responseUnproven                       // its status promises that the request has not run, but the server does not state that
)

// sendResult is the result of one send of a request.
type sendResult struct {
	failure *upstream.Failure
	// response is buffered completely if it is valid and fits the buffer.
	response *upstream.Answer
	kind     responseKind
	// truncated is the error that truncated the response, nil if it is complete.
	truncated error
	// reported is the state that the server reports about itself in the response.
	reported protocol.ServerState
}

// isGood reports whether the response can be passed to the caller.
func (r sendResult) isGood() bool {
	return r.failure == nil && r.kind == responseOwn && r.truncated == nil && r.response.StatusCode < 500
}

// discard closes a response that is no longer needed.
func (r sendResult) discard() {
	if r.response != nil {
		r.response.Discard()
	}
}

// roundTripRecovered is roundTrip on a separate goroutine. A request that causes a panic fails
// alone: it would be repeated through other hosts and crash each of them.
func (x *exchange) roundTripRecovered(ctx context.Context, to destination) (result sendResult) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "panic while sending a request", "request", x.req.ID, "service", x.req.Service, "cause", cause, "stack", string(debug.Stack()))
			result = sendResult{failure: upstream.InternalFailure()}
		}
	}()
	return x.roundTrip(ctx, to)
}

// roundTrip sends the request once. It reads only those fields of the exchange that do not
// change while the request is in flight, so that copies can run concurrently.
func (x *exchange) roundTrip(ctx context.Context, to destination) sendResult {
	response, reported, failure := x.sendToServer(ctx, to)
	result := sendResult{response: response, reported: reported, failure: failure}
	switch {
	case failure != nil:
	case !x.isForThisRequest(response, to.view):
		result.kind = responseMismatched
	case x.isMisdirected(response), x.d.proto.IsNotRun(response.Header):
		result.kind = responseNotRun
	case !x.isValidResponse(response, to.view):
		result.kind = responseMismatched
	case x.d.proto.StatusPromisesNotRun(response.StatusCode):
		result.kind = responseUnproven
	default:
		result.truncated = bufferResponse(response, x.d.conf.BufferBytes, x.d.memory)
	}
	return result
}

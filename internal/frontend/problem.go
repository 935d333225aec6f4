package frontend

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/errs"
)

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Type      string           `json:"type"`
	Title     string           `json:"title"`
	Status    int              `json:"status"`
	Detail    string           `json:"detail"`
	Outcome   dispatch.Outcome `json:"outcome"`
	Remedy    string           `json:"remedy"`
	RequestID string           `json:"request_id"`
}

const problemTypePrefix = "urn:pearshelf:problem:"

// proxyErrors maps error kinds to Proxy-Status error types (RFC 9209, section 2.3).
var proxyErrors = map[errs.Kind]string{
	errs.KindDialFailed:      "connection_refused",
	errs.KindPathLost:        "destination_unavailable",
	errs.KindDeadline:        "http_response_timeout",
	errs.KindAnswerBroken:    "connection_terminated",
	errs.KindNoBackendServer: "destination_unavailable",
	errs.KindNoRoute:         "destination_not_found",
	errs.KindQueueFull:       "connection_limit_reached",
	errs.KindQueueTimeout:    "connection_limit_reached",
	errs.KindServerShed:      "destination_unavailable",
	errs.KindWrongAnswer:     "http_protocol_error",
	errs.KindHeadTooLong:     "http_response_header_section_size",
	errs.KindBadRequest:      "http_request_error",
	errs.KindCustomerLimit:   "http_request_denied",
	errs.KindUnknownKey:      "http_request_denied",
	errs.KindQuarantined:     "http_request_denied",
}

const defaultProxyError = "proxy_internal_response"

func (f *Frontend) writeRefusal(w http.ResponseWriter, r *http.Request, id string, err error) {
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		refusal = &dispatch.Refusal{
			Outcome: dispatch.OutcomeUnknown,
			Status:  http.StatusInternalServerError,
			Err:     errs.Wrap(err, errs.KindAnswerBroken, "request failed", "see the host's log"),
		}
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(dispatch.HeaderOutcome, string(refusal.Outcome))
	h.Set(f.conf.Protocol.RequestID, id)
	h.Set("Proxy-Status", proxyStatus(refusal.Err.Kind))
	if IsForwarded(r) {
		h.Set(dispatch.HeaderKind, string(refusal.Err.Kind))
	}
	if refusal.Status == http.StatusUnauthorized {
		h.Set(customer.HeaderChallenge, customer.Challenge)
	}
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", f.conf.Protocol.FormatRetryAfter(refusal.RetryAfter))
	}
	wait := refusedBodyTimeout
	if refusal.Err.Kind == errs.KindHostMemory {
		wait = 0 // the request takes memory for as long as its body is waited for
	}
	drainBody(w, r, wait)
	w.WriteHeader(refusal.Status)
	body := problem{
		Type:      problemTypePrefix + string(refusal.Err.Kind),
		Title:     http.StatusText(refusal.Status),
		Status:    refusal.Status,
		Detail:    refusal.Err.Message,
		Outcome:   refusal.Outcome,
		Remedy:    refusal.Err.Remedy,
		RequestID: id,
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		klog.V(3).InfoS("cannot write problem document", "request", id, "err", err)
	}
}

// refusedBodyTimeout is how long a refusal waits for the rest of the request body. A short
// body arrives together with its headers, and reading it keeps the connection reusable. The
// rest of a long or slow body is not worth the wait.
const refusedBodyTimeout = 20 * time.Millisecond

// drainBody reads the body of a refused request if it arrives within the given time.
// Otherwise it lets the response be sent before the rest of the body, which the server
// would read first by default, and closes the connection after the response.
func drainBody(w http.ResponseWriter, r *http.Request, wait time.Duration) {
	body, ok := r.Body.(*idleReader)
	if !ok || r.ProtoMajor != 1 || r.ContentLength == 0 {
		return
	}
	if !dispatch.IsStreamed(r) && body.discard(wait) {
		return
	}
	w.Header().Set("Connection", "close")
	_ = body.control.EnableFullDuplex() // otherwise the server reads the body before it responds
}

func proxyStatus(kind errs.Kind) string {
	name, ok := proxyErrors[kind]
	if !ok {
		name = defaultProxyError
	}
	return `pearshelf; error=` + name + `; details="` + string(kind) + `"`
}

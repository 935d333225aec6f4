package dispatch

import (
	"net/http"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
)

// Outcome is the result of a request as reported to its caller.
type Outcome string

// Outcomes.
const (
	// OutcomeComplete: the response is a backend server's own and complete.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun: no backend server ran the request; repeating it is safe.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Refusal is the final response to a request that got none from a backend server. It is sent
// without delay.
type Refusal struct {
	Outcome Outcome
	// Status is the HTTP status code.
	Status int
	// RetryAfter tells the caller when to retry; zero if it should not.
	RetryAfter time.Duration
	Err        *errs.Error
}

// Error implements the error interface.
func (r *Refusal) Error() string { return string(r.Outcome) + ": " + r.Err.Error() }

// Unwrap returns the typed cause.
func (r *Refusal) Unwrap() error { return r.Err }

// DefaultRetryAfter is the time after which a refused request may be repeated if nothing else is known.
const DefaultRetryAfter = time.Second

// NewRefusalNotRun returns the refusal of a request that has not run, with the default time for a repeat.
func NewRefusalNotRun(err *errs.Error) *Refusal { return refuseNotRun(err, DefaultRetryAfter) }

func refuseNotRun(err *errs.Error, retryAfter time.Duration) *Refusal {
	if retryAfter <= 0 {
		retryAfter = DefaultRetryAfter
	}
	return &Refusal{Outcome: OutcomeNotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Err: err}
}

func refuseUnknown(err *errs.Error) *Refusal {
	status := http.StatusBadGateway
	switch err.Kind {
	case errs.KindDeadline:
		status = http.StatusGatewayTimeout
	case errs.KindDuplicateRequest:
		status = http.StatusConflict
	}
	return &Refusal{Outcome: OutcomeUnknown, Status: status, Err: err}
}

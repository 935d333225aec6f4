// Package errs defines the error type of the fleet. Every error has a kind, which code can test, and a
// remedy, which tells a person what to do.
package errs

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Kind classifies an error. Its values are stable, as they appear in responses, logs and events.
type Kind string

// Kinds of error.
const (
	KindSettings            Kind = "settings-invalid"
	KindConfig              Kind = "config-invalid"
	KindStatement           Kind = "statement-invalid"
	KindNotFound            Kind = "not-found"
	KindConflict            Kind = "conflict"
	KindFloor               Kind = "floor"
	KindPlatformUnavailable Kind = "platform-unavailable"
	KindPeerUnreachable     Kind = "peer-unreachable"
	KindNoRoute             Kind = "no-route"
	KindBadRequest          Kind = "bad-request"
	KindQueueFull           Kind = "queue-full"
	KindQueueTimeout        Kind = "queue-timeout"
	KindNoBackendServer     Kind = "no-backend-server"
	KindServerLeaving       Kind = "backend-server-leaving"
	KindServerResting       Kind = "backend-server-resting"
	KindServerRateLimit     Kind = "backend-server-rate-limit"
	KindHostMemory          Kind = "host-memory"
	KindOutsideHomeRegion   Kind = "outside-home-region"
	KindCustomerLimit       Kind = "customer-limit"
	KindUnknownKey          Kind = "unknown-key"
	KindClaimUnavailable    Kind = "claim-unavailable"
	KindDuplicateRequest    Kind = "duplicate-request"
	KindStaleHost           Kind = "stale-host"
	KindDialFailed          Kind = "dial-failed"
	KindPathLost            Kind = "path-lost"
	KindServerShed          Kind = "backend-server-shed"
	KindAnswerBroken        Kind = "answer-broken"
	KindWrongAnswer         Kind = "wrong-answer"
	KindHeadTooLong         Kind = "head-too-long"
	KindHostFailed          Kind = "host-failed"
	KindDeadline            Kind = "deadline-exceeded"
	KindQuarantined         Kind = "request-quarantined"
	KindCanceled            Kind = "canceled"
	KindBodyConsumed        Kind = "body-consumed"
	KindNotConfigured       Kind = "not-configured"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	// Remedy tells the reader how to resolve the error.
	Remedy string

	cause error
}

// New returns an error without a cause. The remedy must name an action.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Wrap returns an error with a cause and records the stack trace of the call.
func Wrap(cause error, kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, cause: eris.Wrap(cause, message)}
}

// Error returns the message, the cause if there is one, and the remedy, on one line.
func (e *Error) Error() string {
	text := e.Message
	if e.cause != nil {
		text = e.cause.Error()
	}
	return text + " (" + e.Remedy + ")"
}

func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first *Error in err's chain, or "" if there is none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ""
}

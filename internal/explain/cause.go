package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// CauseKind classifies causes so that they can be counted over many requests.
type CauseKind string

// Kinds of cause. A server that was failing at the time of the request is a CauseServerKnownFailing if
// the host that sent the request already considered it failing, and a CauseServerNewlyFailing if not.
const (
	CauseAnswered           CauseKind = "answered"
	CauseLimit              CauseKind = "customer-limit"
	CauseFairShare          CauseKind = "fair-share" // the customer had more than its share of an overloaded service
	CauseUnknownKey         CauseKind = "unknown-key"
	CauseQuarantined        CauseKind = "quarantined"
	CauseRateLimits         CauseKind = "servers-rate-limits"
	CauseRefusedUnsent      CauseKind = "refused-unsent" // refused by this host before it was sent to a server
	CauseShed               CauseKind = "shed"
	CauseRetryWithheld      CauseKind = "retry-withheld" // shed, and the retry allowance was spent
	CauseUnreachable        CauseKind = "unreachable"
	CausePathLost           CauseKind = "path-lost" // this host reached no server, and no other host took the request
	CauseTimeout            CauseKind = "no-answer-in-time"
	CauseCallerDisconnected CauseKind = "caller-left"
	CauseServerCrashed      CauseKind = "server-ended"
	CauseConnectionBroken   CauseKind = "connection-broke"
	CauseWrongAnswer        CauseKind = "wrong-answer"
	CauseRequestError       CauseKind = "request's-own-error"
	CauseServerKnownFailing CauseKind = "spell-known"
	CauseServerNewlyFailing CauseKind = "spell-not-known"
)

// Cause is the reason for the outcome of a request.
type Cause struct {
	Kind CauseKind
	// Text explains the cause in one sentence.
	Text string
}

// rateLimitsFullText is part of the logged reason if every server's advertised rate limit is exhausted.
const rateLimitsFullText = "no room in the rate limits"

// serversEndedText is part of the logged reason if a request is quarantined because servers ended while
// they processed it.
const serversEndedText = "servers ended under"

// fairShareText is part of the logged reason if the customer had more than its fair share of an
// overloaded service.
const fairShareText = "more than its fair share"

// decisiveAttempt returns the last attempt that was not abandoned in favour of another one.
func decisiveAttempt(attempts []attempt) attempt {
	for _, t := range slices.Backward(attempts) {
		if !t.abandoned() {
			return t
		}
	}
	return attempts[len(attempts)-1]
}

// cause determines the cause from the decisive attempt and the logged fields.
func (l *Logs) cause(r line, attempts []attempt) Cause {
	sent := slices.DeleteFunc(slices.Clone(attempts), attempt.withheld)
	if len(sent) == 0 {
		return unsentCause(r)
	}
	last := decisiveAttempt(sent)
	kind, _, _ := strings.Cut(last.result, "/")
	if last.isRelay() {
		return l.relayCause(r, last)
	}
	switch {
	case !last.failed():
		return Cause{CauseAnswered, "server " + last.server + " answered it"}
	case kind == "not-run":
		return shedCause(r, attempts)
	case kind == "dial-failed":
		return Cause{CauseUnreachable, "no connection to server " + last.server + " could be made from " + r.host + ", and no other server was tried in the remaining time"}
	case kind == "deadline-exceeded":
		return Cause{CauseTimeout, "server " + last.server + " did not answer before the request's deadline"}
	case kind == "canceled":
		return Cause{CauseCallerDisconnected, "the caller disconnected before server " + last.server + " answered"}
	case last.serverState == "ended":
		return Cause{CauseServerCrashed, "server " + last.server + " ended while it had the request: it may have run; if other servers end in the same way, show quarantine lists the request" + retryNote(r)}
	case kind == "answer-broken" || kind == "cut-short":
		return Cause{CauseConnectionBroken, "the connection to server " + last.server + " broke after the request was sent: it may have run" + retryNote(r)}
	case kind == "wrong-answer":
		return Cause{CauseWrongAnswer, "server " + last.server + " sent a response that belongs to another request" + retryNote(r)}
	case kind == "head-too-long":
		return Cause{CauseWrongAnswer, "server " + last.server + " sent a response whose head is too long: it may have run the request" + retryNote(r)}
	case strings.HasSuffix(last.result, "/504"):
		return Cause{CauseTimeout, "server " + last.server + " gave up at the request's deadline"}
	default:
		return l.errorCause(r, last)
	}
}

// relayCause returns the cause of the outcome of a request that was relayed through another host.
func (l *Logs) relayCause(r line, last attempt) Cause {
	for _, other := range slices.Backward(l.relayedLines(r.fields["request"])) {
		if other.host == last.server {
			return l.cause(other, parseAttempts(other.fields["tries"]))
		}
	}
	if !last.failed() {
		return Cause{CauseAnswered, "host " + last.server + " answered it, through which " + r.host + " relayed it"}
	}
	return Cause{CausePathLost, r.host + " reached no backend server, and host " + last.server + " did not serve the request for it (" + last.result + ")"}
}

// pathLostText is part of the logged reason if neither the host nor another one could send a
// request.
const pathLostText = "cannot connect to any backend server"

// unsentCause returns the cause of a request that was not sent to any server.
func unsentCause(r line) Cause {
	switch r.fields["status"] {
	case "401":
		return Cause{CauseUnknownKey, "no customer holds the key of the request; it has not run"}
	case "429":
		return Cause{CauseLimit, "customer " + r.fields["customer"] + " was beyond its fleet-wide limit (" + r.fields["reason"] + "); it has not run"}
	}
	reason := r.fields["reason"]
	switch {
	case strings.Contains(reason, serversEndedText):
		return Cause{CauseQuarantined, "refused, because " + reason + "; it has not run"}
	case strings.Contains(reason, pathLostText):
		return Cause{CausePathLost, "it was sent to no server: " + reason}
	case strings.Contains(reason, fairShareText):
		return Cause{CauseFairShare, "it was sent to no server: " + reason}
	case strings.Contains(reason, rateLimitsFullText):
		return Cause{CauseRateLimits, "it was sent to no server: " + reason}
	default:
		return Cause{CauseRefusedUnsent, "it was sent to no server: " + reason}
	}
}

func retryNote(r line) string {
	if r.fields["idempotent"] == "true" {
		return "; it could be retried, but its attempts, its time or the retry allowance were exhausted"
	}
	return "; it is not idempotent and must not run twice, so it was not retried"
}

// errorCause distinguishes a failing server from a request that causes an error on any server. A failing
// server answers quickly, whereas an error after the typical latency points to the request.
func (l *Logs) errorCause(r line, last attempt) Cause {
	typical := l.typicalLatency(r.fields["service"])
	if typical > 0 && float64(last.took) > policy.FastErrorShare*float64(typical) {
		return Cause{CauseRequestError, fmt.Sprintf("server %s worked on it for %s, about its typical latency (%s), and answered an error: most likely the request's own", last.server, last.took, typical) + retryNote(r)}
	}
	if last.belief >= failingBelief {
		return Cause{CauseServerKnownFailing, fmt.Sprintf("server %s was known to fail (belief %.2f) and was picked because the others were worse, full or unreachable", last.server, last.belief) + retryNote(r)}
	}
	return Cause{CauseServerNewlyFailing, fmt.Sprintf("server %s failed it at once, and this host did not know yet that the server was failing (belief %.2f): the request was among the first ones to fail there", last.server, last.belief) + retryNote(r)}
}

func shedCause(r line, attempts []attempt) Cause {
	refused := 0
	for _, t := range attempts {
		if strings.HasPrefix(t.result, "not-run") {
			refused++
		}
	}
	if spent := r.fields["retry"]; spent != "" {
		return Cause{CauseRetryWithheld, fmt.Sprintf("overload: %d servers refused it without running it, and it was not retried because the retry allowance was spent (%s); it has not run", refused, spent)}
	}
	return Cause{CauseShed, fmt.Sprintf("overload: %d servers refused it without running it, and the request's attempts or its time were exhausted; it has not run", refused)}
}

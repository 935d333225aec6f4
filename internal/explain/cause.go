package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// CauseKind classifies causes, for sums over many requests.
type CauseKind string

// Kinds of cause.
const (
	CauseAnswered    CauseKind = "answered"
	CauseLimit       CauseKind = "customer-limit"
	CauseUnknownKey  CauseKind = "unknown-key"
	CauseQuarantined CauseKind = "quarantined"
	CauseRateLimits  CauseKind = "servers-rate-limits"
	CauseRefused     CauseKind = "refused-unsent" // by this host, before any send
	CauseShed        CauseKind = "shed"
	CauseUnreachable CauseKind = "unreachable"
	CauseSilent      CauseKind = "no-answer-in-time"
	CauseCallerLeft  CauseKind = "caller-left"
	CauseServerEnded CauseKind = "server-ended"
	CauseBroken      CauseKind = "connection-broke"
	CauseWrongAnswer CauseKind = "wrong-answer"
	CauseOwnError    CauseKind = "request's-own-error"
	CauseKnownSpell  CauseKind = "spell-known"
	CauseNewSpell    CauseKind = "spell-not-known"
)

// Cause is why a request ended as it did.
type Cause struct {
	Kind CauseKind
	// Text is one sentence.
	Text string
}

// noRoom is in the reason of a request whose servers all name rate limits without room.
const noRoom = "no room in the rate limits"

// endedUnder is in the reason of a request that was refused because it ends servers.
const endedUnder = "servers ended under"

// decisive is the last try that was not given up for another one.
func decisive(tries []try) try {
	for _, t := range slices.Backward(tries) {
		if !t.abandoned() {
			return t
		}
	}
	return tries[len(tries)-1]
}

// cause names the reason by the last try and the outcome.
func (l *Logs) cause(r line, tries []try) Cause {
	sent := slices.DeleteFunc(slices.Clone(tries), try.withheld)
	if len(sent) == 0 {
		return unsentCause(r)
	}
	last := decisive(sent)
	kind, _, _ := strings.Cut(last.result, "/")
	switch {
	case !last.failed():
		return Cause{CauseAnswered, "server " + last.server + " answered it"}
	case kind == "not-run":
		return Cause{CauseShed, shedCause(tries)}
	case kind == "dial-failed":
		return Cause{CauseUnreachable, "no connection to server " + last.server + " could be made from " + r.host + ", and no other server was tried in the time left"}
	case kind == "deadline-exceeded":
		return Cause{CauseSilent, "server " + last.server + " did not answer in the time that the request had"}
	case kind == "canceled":
		return Cause{CauseCallerLeft, "the caller went away before server " + last.server + " answered"}
	case last.fate == "ended":
		return Cause{CauseServerEnded, "server " + last.server + " ended while it had the request: it may have run; if that comes again at other servers, show quarantine has it" + repeatNote(r)}
	case kind == "answer-broken" || kind == "cut-short":
		return Cause{CauseBroken, "the connection to server " + last.server + " broke after the request was sent: it may have run" + repeatNote(r)}
	case kind == "wrong-answer":
		return Cause{CauseWrongAnswer, "server " + last.server + " sent an answer that is not this request's" + repeatNote(r)}
	case strings.HasSuffix(last.result, "/504"):
		return Cause{CauseSilent, "server " + last.server + " gave up at the deadline"}
	default:
		return l.errorCause(r, last)
	}
}

// unsentCause names the reason of a request that was sent to no server.
func unsentCause(r line) Cause {
	switch r.fields["status"] {
	case "401":
		return Cause{CauseUnknownKey, "no customer holds the key that it came with; it has not run"}
	case "429":
		return Cause{CauseLimit, "customer " + r.fields["customer"] + " was beyond its limit over all hosts (" + r.fields["reason"] + "); it has not run"}
	}
	reason := r.fields["reason"]
	switch {
	case strings.Contains(reason, endedUnder):
		return Cause{CauseQuarantined, "refused, because " + reason + "; it has not run"}
	case strings.Contains(reason, noRoom):
		return Cause{CauseRateLimits, "it was sent to no server: " + reason}
	default:
		return Cause{CauseRefused, "it was sent to no server: " + reason}
	}
}

func repeatNote(r line) string {
	if r.fields["idempotent"] == "true" {
		return "; it could be repeated, but its tries, its time or the retry allowance were spent"
	}
	return "; it must not run twice, so it was not sent again"
}

// errorCause tells a failing server from an error of the request's own.
func (l *Logs) errorCause(r line, last try) Cause {
	usual := l.usualTime(r.fields["service"])
	if usual > 0 && float64(last.took) > policy.QuickErrorShare*float64(usual) {
		return Cause{CauseOwnError, fmt.Sprintf("server %s worked on it for %s, about as long as usual (%s), and answered an error: most likely the request's own", last.server, last.took, usual) + repeatNote(r)}
	}
	if last.belief >= known {
		return Cause{CauseKnownSpell, fmt.Sprintf("server %s was known to fail (belief %.2f) and was picked because the others were worse, full or not to be reached", last.server, last.belief) + repeatNote(r)}
	}
	return Cause{CauseNewSpell, fmt.Sprintf("server %s failed it at once, and this host did not know yet that it was failing (belief %.2f): it was among the first requests to meet the spell", last.server, last.belief) + repeatNote(r)}
}

func shedCause(tries []try) string {
	refused := 0
	for _, t := range tries {
		if strings.HasPrefix(t.result, "not-run") {
			refused++
		}
	}
	return fmt.Sprintf("overload: %d servers refused it without running it, and the fleet's retry allowance or its tries were spent; it has not run", refused)
}

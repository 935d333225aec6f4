package dispatch

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/boottime"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// subject identifies the request by its content and its caller, so that a repetition is
// recognized. The body must have been read.
func (r *Request) subject() quarantine.Subject {
	r.subjectOnce.Do(func() {
		credentials := r.credentials()
		r.cachedSubject.Content = content.NewID(content.Request{
			Method:      r.in.Method,
			Host:        hostname(r.in.Host),
			Target:      r.in.URL.RequestURI(),
			Customer:    r.Customer,
			Credentials: credentials,
			Body:        r.body.data,
			Streamed:    !r.body.buffered,
		})
		if caller := r.caller(); caller != "" {
			r.cachedSubject.Caller = content.NewID(content.Request{
				Host:        hostname(r.in.Host),
				Target:      r.Service + " " + r.Group,
				Customer:    caller,
				Credentials: credentials,
			})
		}
	})
	return r.cachedSubject
}

// caller identifies who connects: the customer, whichever the address, else the address. It is
// empty for a request without a customer that another host has forwarded, because the address
// is then that host's.
func (r *Request) caller() string {
	if r.Customer != "" || r.ForwardedBy != "" {
		return r.Customer
	}
	address, _, err := net.SplitHostPort(r.in.RemoteAddr)
	if err != nil {
		return r.in.RemoteAddr // the listener reports no port
	}
	return address
}

// credentials returns the values that identify the sender, apart from the customer's key.
func (r *Request) credentials() []string {
	values := slices.Clone(r.in.Header.Values("Cookie"))
	if !r.HideKey {
		values = append(values, r.in.Header.Values(customer.HeaderAuthorization)...)
	}
	return values
}

// hostname returns the name in a Host header without the port, which may differ between hosts.
func hostname(host string) string { return (&url.URL{Host: host}).Hostname() }

// contentLabel is the log label of the content, empty while the body has not been read.
func (r *Request) contentLabel() string {
	if !r.body.buffered && !r.body.streamed {
		return ""
	}
	return r.subject().Content.Short()
}

// checkQuarantine returns a refusal if the request is quarantined because it crashes the servers
// that run it, else nil. It matches by content because the request ID is new for each
// repetition: matched by ID alone, one read crashed 22 servers.
func (x *exchange) checkQuarantine() *Refusal {
	if !x.d.quarantine.Active() {
		return nil
	}
	active, onTrial := x.d.quarantine.Check(x.req.subject())
	x.quarantineTrial = x.quarantineTrial || onTrial
	if active == nil {
		return nil
	}
	now := time.Now()
	err := errs.New(errs.KindQuarantined, quarantineMessage(active, now), "fix the request or the fault that ends the servers; operators can list quarantines with show quarantine, and lift them")
	return refuseNotRun(err, active.Until.Sub(now))
}

// quarantineMessage names the servers that crashed and the hosts that reported it.
func quarantineMessage(q *quarantine.Quarantine, now time.Time) string {
	var servers []string
	for _, e := range q.Ends {
		servers = append(servers, fmt.Sprintf("%s %s ago by %s", e.Server, now.Sub(e.At).Round(time.Millisecond), e.Host))
	}
	what := "this request"
	if q.Scope == quarantine.ScopeCaller {
		what = "requests of this caller on this route"
	}
	return fmt.Sprintf("%d servers ended under %s: %s", len(q.Ends), what, strings.Join(servers, ", "))
}

// recordFate checks whether a server whose connection broke during the request is still running,
// and reports a crash if it is not.
func (x *exchange) recordFate(lease *serverLease) {
	lease.attempt.fate = x.checkLiveness(lease).String()
}

func (x *exchange) checkLiveness(lease *serverLease) upstream.Liveness {
	fate := x.d.liveness.Check(lease.Server.Address)
	lease.done.ServerUnreachable = fate != upstream.LivenessAlive
	if fate == upstream.LivenessEnded && x.isEvidence(lease) {
		x.d.quarantine.RecordCrash(x.req.subject(), x.req.Service, lease.Server.ID)
	}
	return fate
}

// isEvidence reports whether the request may be the cause of a crash. A leaving server
// terminates by itself, and a host that was paused sees the broken connection long after the fact.
func (x *exchange) isEvidence(lease *serverLease) bool {
	if reason, _ := x.d.availability.Of(x.serverOf(lease)); reason == availability.Leaving {
		return false
	}
	return x.inRotation(lease.Server) && x.d.snapshot().Fresh(time.Now(), boottime.Suspended())
}

// maxServedBodyBytes bounds the size of bodies that are hashed to record a served request
// while no content is suspected.
const maxServedBodyBytes = 8 << 10

// recordServed clears the request of suspicion: a request that crashes servers never gets
// a complete response.
func (x *exchange) recordServed(status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if len(x.req.body.data) <= maxServedBodyBytes || x.d.quarantine.Active() {
		x.d.quarantine.RecordAnswer(x.req.subject())
	}
}

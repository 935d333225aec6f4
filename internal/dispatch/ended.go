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

// subject identifies the request by what it is and whose it is, so that it is known when it
// comes again. The body must have been read.
func (r *Request) subject() quarantine.Subject {
	r.subjectOnce.Do(func() {
		credentials := r.credentials()
		r.subjectKept.Content = content.Of(content.Request{
			Method:      r.in.Method,
			Host:        hostname(r.in.Host),
			Target:      r.in.URL.RequestURI(),
			Customer:    r.Customer,
			Credentials: credentials,
			Body:        r.body.kept,
			Streamed:    !r.body.isKept,
		})
		if caller := r.caller(); caller != "" {
			r.subjectKept.Caller = content.Of(content.Request{
				Host:        hostname(r.in.Host),
				Target:      r.Service + " " + r.Group,
				Customer:    caller,
				Credentials: credentials,
			})
		}
	})
	return r.subjectKept
}

// caller names who connects: the customer, from whichever address, else the address. It is
// empty for a request that another host has handed over.
func (r *Request) caller() string {
	if r.Customer != "" || r.ForwardedBy != "" {
		return r.Customer
	}
	address, _, err := net.SplitHostPort(r.in.RemoteAddr)
	if err != nil {
		return r.in.RemoteAddr // a listener that gives no port
	}
	return address
}

// credentials are what a request shows of who sent it, beside the customer's key.
func (r *Request) credentials() []string {
	shown := slices.Clone(r.in.Header.Values("Cookie"))
	if !r.HideKey {
		shown = append(shown, r.in.Header.Values(customer.HeaderAuthorization)...)
	}
	return shown
}

// hostname is the name in a Host header, without the port, by which hosts may differ.
func hostname(host string) string { return (&url.URL{Host: host}).Hostname() }

// contentLabel is what logs show of the content, empty while the body has not been read.
func (r *Request) contentLabel() string {
	if !r.body.isKept && !r.body.streamed {
		return ""
	}
	return r.subject().Content.Label()
}

// quarantined returns the refusal of a request that ends the servers which run it, nil for
// any other. Known by its ID alone, which is new each time, one read ended 22 servers.
func (x *exchange) quarantined() *Refusal {
	if !x.d.quarantine.Active() {
		return nil
	}
	held, onTrial := x.d.quarantine.Check(x.req.subject())
	x.onTrial = x.onTrial || onTrial
	if held == nil {
		return nil
	}
	now := time.Now()
	err := errs.New(errs.KindQuarantined, whyQuarantined(held, now), "mend what ends the servers; operators see show quarantine, and lift it")
	return notRun(err, held.Until.Sub(now))
}

// whyQuarantined names the servers that ended, and who saw it.
func whyQuarantined(held *quarantine.Quarantine, now time.Time) string {
	var servers []string
	for _, e := range held.Ends {
		servers = append(servers, fmt.Sprintf("%s %s ago by %s", e.Server, now.Sub(e.At).Round(time.Millisecond), e.Host))
	}
	what := "this request"
	if held.Scope == quarantine.ScopeCaller {
		what = "requests of this caller on this route"
	}
	return fmt.Sprintf("%d servers ended under %s: %s", len(held.Ends), what, strings.Join(servers, ", "))
}

// noteFate finds out what became of a server whose connection broke while it had the
// request, and tells where it has ended.
func (x *exchange) noteFate(lease *place) { lease.try.fate = x.fateOf(lease).String() }

func (x *exchange) fateOf(lease *place) upstream.Fate {
	fate := x.d.fates.Of(lease.Server.Address)
	if fate == upstream.FateEnded && x.isEvidence(lease) {
		x.d.quarantine.Ended(x.req.subject(), x.req.Service, lease.Server.ID)
	}
	return fate
}

// isEvidence reports whether a server's end may be the request's doing: a server that was
// leaving ends by itself, and a host that stood still saw the connection break long after.
func (x *exchange) isEvidence(lease *place) bool {
	if reason, _ := x.d.servers.Of(x.serverOf(lease)); reason == availability.Leaving {
		return false
	}
	return x.inRotation(lease.Server) && x.d.snapshot().Fresh(time.Now(), boottime.Suspended())
}

// maxNotedBody bounds the bodies, in bytes, whose digest is worth noting that the request was
// answered while no content is suspected.
const maxNotedBody = 8 << 10

// noteServed clears the request of having ended servers: what ends servers never gets a whole
// answer.
func (x *exchange) noteServed(status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if len(x.req.body.kept) <= maxNotedBody || x.d.quarantine.Active() {
		x.d.quarantine.Served(x.req.subject())
	}
}

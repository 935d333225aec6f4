package dispatch

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// stateEventsPerSecond bounds the events about reported server states on one host: all 200
// servers of a service may ask for rest at the same moment.
const stateEventsPerSecond = 50

// serverOf identifies the process of the server that a request is sent to.
func (x *exchange) serverOf(lease *serverLease) process.Server {
	return availability.ServerOf(x.req.Service, &lease.Server)
}

// sendToServer sends to a backend server. It is the only way in which responses of servers
// arrive, so that the state that they report is recorded whatever the response is used for,
// including losing copies, trials and resumed downloads.
func (x *exchange) sendToServer(ctx context.Context, to destination) (*upstream.Answer, protocol.ServerState, *upstream.Failure) {
	sentAt := time.Now()
	response, failure := x.send(ctx, to)
	if failure != nil {
		return nil, protocol.ServerState{}, failure
	}
	if !x.isFromServer(response, to) {
		return response, protocol.ServerState{}, nil
	}
	reported := x.d.proto.ReadServerState(time.Now(), response.StatusCode, response.Header)
	x.d.recordServerState(to.server, reported)
	x.d.rateLimits.RecordLimit(to.server, sentAt, reported.Limit)
	return response, reported, nil
}

// isFromServer reports whether a response is from the server that was asked. Another server
// may have its address by now, and a response to another request may be from any server.
func (x *exchange) isFromServer(response *upstream.Answer, to destination) bool {
	return !x.isMisdirected(response) && x.isForThisRequest(response, to.view)
}

// recordServerState records the state that a server reports, and emits events for changes.
func (d *Dispatcher) recordServerState(server process.Server, reported protocol.ServerState) {
	change := d.availability.Record(server, reported)
	if change.BeganLeaving {
		d.metrics.ServerStateReported(availability.Leaving.String())
		d.recordStateEvent(event.BackendLeaving, server, "the server reports that it accepts no new requests")
	}
	if change.BeganRest {
		d.metrics.ServerStateReported(availability.Resting.String())
		d.recordStateEvent(event.BackendResting, server, "the server asked for rest: no requests from this host for "+reported.Rest.String())
	}
	if change.Returned {
		d.recordStateEvent(event.BackendAvailable, server, "the server has responded after its rest")
	}
}

func (d *Dispatcher) recordStateEvent(number event.Number, server process.Server, detail string) {
	if !d.stateEventLimit.Allow(time.Now()) {
		return
	}
	if missed := d.stateEventLimit.TakeSuppressed(); missed > 0 {
		klog.InfoS("suppressed events about reported server states", "missed", missed)
	}
	d.events.Record(number, server.Service, server.ID, detail)
}

// reportLoad stores the load that a server has reported in the lease, for later picks.
func reportLoad(lease *serverLease, reported protocol.ServerState) {
	if reported.Load != nil {
		lease.reportLoad(*reported.Load)
	}
}

// formatState formats a reported state for logs, empty for none.
func formatState(reported protocol.ServerState) string {
	var parts []string
	if reported.Leaving {
		parts = append(parts, availability.Leaving.String())
	}
	if reported.Rest > 0 {
		parts = append(parts, "rest:"+reported.Rest.String())
	}
	if reported.Limit.Named {
		parts = append(parts, "limit:"+formatRate(reported.Limit.PerSecond))
	}
	if reported.Limit.Invalid != "" {
		parts = append(parts, "unreadable-limit")
	}
	return strings.Join(parts, ",")
}

// formatRate formats a rate in requests per second for logs and events.
func formatRate(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'g', 4, 64) + "/s"
}

// knownState returns the reason, known from earlier responses, why the server should not get
// requests now. It is formatted for logs and empty for none.
func (x *exchange) knownState(lease *serverLease) string {
	snapshot := x.d.availability.Now()
	reason, state := snapshot.Of(x.serverOf(lease))
	return formatKnownState(reason, state, snapshot.Time())
}

// formatKnownState formats a reason and how long ago the server reported it. The age is
// omitted for a server without room in its rate limit if it has reported no state.
func formatKnownState(reason availability.Reason, state availability.State, now time.Time) string {
	switch {
	case reason == availability.Available:
		return ""
	case state.ReportedAt.IsZero():
		return reason.String()
	default:
		return fmt.Sprintf("%s:said-%s-ago", reason, now.Sub(state.ReportedAt).Round(time.Millisecond))
	}
}

// isAvailable reports whether a server accepts requests, by the state that it reported.
func (x *exchange) isAvailable(b *world.BackendView) bool {
	reason, _ := x.d.availability.Of(availability.ServerOf(x.req.Service, b))
	return reason.TakesRequests()
}

// checkServer forbids a send to a server outside the request's home regions, to one that has
// reported since it was picked that it accepts no requests, and to one that has left the
// rotation.
func (x *exchange) checkServer(to destination) error {
	if to.server.ID == "" {
		return nil // an owner host
	}
	if !x.req.Homes.Allows(x.d.conf.Regions, to.dataCentre) {
		x.d.metrics.SendWithheld("home-region")
		return x.outsideHome("backend server " + to.server.ID + " is outside the home regions of the request")
	}
	reason, _ := x.d.availability.Of(to.server)
	switch reason {
	case availability.Leaving:
		x.d.metrics.SendWithheld(reason.String())
		return errs.New(errs.KindServerLeaving, "backend server "+to.server.ID+" reported that it is leaving before the request was sent", "repeat the request")
	case availability.Resting:
		x.d.metrics.SendWithheld(reason.String())
		return errs.New(errs.KindServerResting, "backend server "+to.server.ID+" asked for rest before the request was sent", "repeat the request")
	default:
		return x.checkRotation(to)
	}
}

// checkRotation forbids a send to a server that has left the rotation since it was picked.
func (x *exchange) checkRotation(to destination) error {
	view, configured := x.d.snapshot().Services[x.req.Service]
	if configured && (view == to.view || view.Backend(to.server.ID) != nil) {
		return nil
	}
	x.d.metrics.SendWithheld("out-of-rotation")
	return errs.New(errs.KindServerLeaving, "backend server "+to.server.ID+" left the rotation before the request was sent", "repeat the request")
}

// isWithheld reports whether a send was stopped before its first byte because of the server's
// known state. Such a failure is no new information about the server.
func isWithheld(kind errs.Kind) bool {
	return kind == errs.KindServerLeaving || kind == errs.KindServerResting || kind == errs.KindServerRateLimit || kind == errs.KindOutsideHomeRegion
}

// refuseIfNoneAvailable returns a refusal if all servers report that they are leaving or want
// rest, or have no room in their rate limits, else nil. Retry-After is when the first of them
// accepts requests again.
func (x *exchange) refuseIfNoneAvailable() *Refusal {
	unavailability, none := x.d.availability.Now().UnavailabilityOf(x.req.Service, x.view.Backends)
	switch {
	case !none:
		return nil
	case unavailability.Reason == availability.Leaving:
		return refuseNotRun(errs.New(errs.KindServerLeaving, "all backend servers of "+x.req.Service+" report that they are leaving", "repeat the request after the time in Retry-After; start other servers"), DefaultRetryAfter)
	case unavailability.Reason == availability.RateLimited:
		after := max(x.d.rateLimits.ReserveRetry(x.limitedServers()), unavailability.Remaining)
		text := "all backend servers of " + x.req.Service + " have no room in the rate limits that they report, for this request again in " + after.Round(time.Millisecond).String()
		return refuseNotRun(errs.New(errs.KindServerRateLimit, text, "repeat the request after the time in Retry-After; add capacity"), after)
	default:
		left := unavailability.Remaining.Round(time.Millisecond).String()
		return refuseNotRun(errs.New(errs.KindServerResting, "all backend servers of "+x.req.Service+" asked for rest, the first for another "+left, "repeat the request after the time in Retry-After; add capacity"), unavailability.Remaining)
	}
}

// limitedServers returns the service's servers that report rate limits.
func (x *exchange) limitedServers() []process.Server {
	limits := x.d.snapshot().RateLimits
	var all []process.Server
	for i := range x.view.Backends {
		server := availability.ServerOf(x.req.Service, &x.view.Backends[i])
		if _, limited := limits.Of(server); limited {
			all = append(all, server)
		}
	}
	return all
}

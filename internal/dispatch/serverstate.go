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

// stateLinesPerSecond bounds the events about what servers say of themselves, on one host:
// a service of 200 servers may ask for rest at one moment.
const stateLinesPerSecond = 50

// serverOf names the process of the server that has a request.
func (x *exchange) serverOf(lease *place) process.Server {
	return availability.ServerOf(x.req.Service, &lease.Server)
}

// sendToServer is send to a backend server. It is the only way in which answers of servers
// arrive, so that what they say of themselves is known whatever becomes of the answer: of a
// copy that lost, a trial, the rest of a download.
func (x *exchange) sendToServer(ctx context.Context, to destination) (*upstream.Answer, protocol.ServerState, *upstream.Failure) {
	sentAt := time.Now()
	answer, failure := x.send(ctx, to)
	if failure != nil {
		return nil, protocol.ServerState{}, failure
	}
	if !x.speaksForServer(answer, to) {
		return answer, protocol.ServerState{}, nil
	}
	said := x.d.marks.ReadServerState(time.Now(), answer.StatusCode, answer.Header)
	x.d.learn(to.server, said)
	x.d.rateLimits.Heard(to.server, sentAt, said.Limit)
	return answer, said, nil
}

// speaksForServer reports whether an answer is by the server that was asked: another one
// may have its address by now, and one that names another request may be anybody's. One that
// names none came on a connection that carried this request only.
func (x *exchange) speaksForServer(answer *upstream.Answer, to destination) bool {
	echo := answer.Header.Get(x.d.marks.RequestID)
	return !x.isMisdirected(answer) && (echo == "" || x.isEcho(answer, to.view))
}

// learn takes what a server says of itself, and tells operators where it is new.
func (d *Dispatcher) learn(server process.Server, said protocol.ServerState) {
	change := d.servers.Learn(server, said)
	if change.BeganLeaving {
		d.metrics.ServerSaid(availability.Leaving.String())
		d.recordState(event.BackendLeaving, server, "the server says that it takes no new work")
	}
	if change.BeganRest {
		d.metrics.ServerSaid(availability.Resting.String())
		d.recordState(event.BackendResting, server, "the server asks for no requests from this host for "+said.Rest.String())
	}
	if change.Returned {
		d.recordState(event.BackendAvailable, server, "the server has answered after its rest")
	}
}

func (d *Dispatcher) recordState(number event.Number, server process.Server, detail string) {
	if !d.stateLines.Allows(time.Now()) {
		return
	}
	if missed := d.stateLines.TakeMissed(); missed > 0 {
		klog.InfoS("events about what servers say of themselves were left out", "missed", missed)
	}
	d.events.Record(number, server.Service, server.ID, detail)
}

// noteLoad keeps what a server said of its load for the next pick.
func noteLoad(lease *place, said protocol.ServerState) {
	if said.Load != nil {
		lease.report(*said.Load)
	}
}

// describe puts a reported state as logs have it, empty for none.
func describe(said protocol.ServerState) string {
	var parts []string
	if said.Leaving {
		parts = append(parts, availability.Leaving.String())
	}
	if said.Rest > 0 {
		parts = append(parts, "rest:"+said.Rest.String())
	}
	if said.Limit.Named {
		parts = append(parts, "limit:"+describeRate(said.Limit.PerSecond))
	}
	if said.Limit.Unreadable != "" {
		parts = append(parts, "unreadable-limit")
	}
	return strings.Join(parts, ",")
}

// describeRate puts requests a second as logs and events have them.
func describeRate(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'g', 4, 64) + "/s"
}

// knownOf is why a server should get no request now, by what it has said before, as logs
// have it; empty for no reason.
func (x *exchange) knownOf(lease *place) string {
	moment := x.d.servers.Now()
	reason, state := moment.Of(x.serverOf(lease))
	return describeKnown(reason, state, moment.Time())
}

// describeKnown names a reason, and how long ago the server gave it. One whose rate limit has no
// room need have said nothing of that kind.
func describeKnown(reason availability.Reason, state availability.State, now time.Time) string {
	switch {
	case reason == availability.Available:
		return ""
	case state.SaidAt.IsZero():
		return reason.String()
	default:
		return fmt.Sprintf("%s:said-%s-ago", reason, now.Sub(state.SaidAt).Round(time.Millisecond))
	}
}

// isAvailable reports whether a server takes requests, as it reports itself.
func (x *exchange) isAvailable(b *world.BackendView) bool {
	reason, _ := x.d.servers.Of(availability.ServerOf(x.req.Service, b))
	return reason.TakesRequests()
}

// mayStillSend forbids a send to a server that has said since it was picked that it takes no
// requests, or that has left the rotation since.
func (x *exchange) mayStillSend(to destination) error {
	if to.server.ID == "" {
		return nil // an owner host
	}
	if !x.req.Homes.Allow(x.d.conf.Regions, to.dataCentre) {
		x.d.metrics.SendWithheld("home-region")
		return x.outsideHome("backend server " + to.server.ID + " is outside the home regions of the request")
	}
	reason, _ := x.d.servers.Of(to.server)
	switch reason {
	case availability.Leaving:
		x.d.metrics.SendWithheld(reason.String())
		return errs.New(errs.KindLeaving, "backend server "+to.server.ID+" said that it is leaving before the request was sent", "repeat the request")
	case availability.Resting:
		x.d.metrics.SendWithheld(reason.String())
		return errs.New(errs.KindResting, "backend server "+to.server.ID+" asked for rest before the request was sent", "repeat the request")
	default:
		return x.stillInRotation(to)
	}
}

// stillInRotation forbids a send to a server that has left the rotation since it was picked.
func (x *exchange) stillInRotation(to destination) error {
	view := x.d.snapshot().Services[x.req.Service]
	if view == to.view || view == nil || view.Backend(to.server.ID) != nil {
		return nil
	}
	x.d.metrics.SendWithheld("out-of-rotation")
	return errs.New(errs.KindLeaving, "backend server "+to.server.ID+" left the rotation before the request was sent", "repeat the request")
}

// isWithheld reports whether a send was stopped before its first byte because of what is
// known of the server: that says nothing new of it.
func isWithheld(kind errs.Kind) bool {
	return kind == errs.KindLeaving || kind == errs.KindResting || kind == errs.KindNoRoom || kind == errs.KindOutsideHome
}

// noneAvailable is the refusal of a request whose servers all say that they are leaving or
// want rest, or have no room in their rate limits; nil if there are others. The caller is told to come back when the first of them
// takes requests again.
func (x *exchange) noneAvailable() *Refusal {
	absence, none := x.d.servers.Now().AbsenceOf(x.req.Service, x.view.Backends)
	switch {
	case !none:
		return nil
	case absence.Reason == availability.Leaving:
		return notRun(errs.New(errs.KindLeaving, "all backend servers of "+x.req.Service+" say that they are leaving", "repeat the request after the time in Retry-After; start other servers"), defaultRetryAfter)
	case absence.Reason == availability.NoRoom:
		after := max(x.d.rateLimits.Promise(x.limitedServers()), absence.Left)
		text := "all backend servers of " + x.req.Service + " have no room in the rate limits that they name, for this request again in " + after.Round(time.Millisecond).String()
		return notRun(errs.New(errs.KindNoRoom, text, "repeat the request after the time in Retry-After; add capacity"), after)
	default:
		left := absence.Left.Round(time.Millisecond).String()
		return notRun(errs.New(errs.KindResting, "all backend servers of "+x.req.Service+" asked for rest, the first for another "+left, "repeat the request after the time in Retry-After; add capacity"), absence.Left)
	}
}

// limitedServers returns the service's servers that name rate limits.
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

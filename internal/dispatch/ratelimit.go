package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/boottime"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
)

// RateLimits keeps what all hosts together send to a backend server within the rate limit that
// it names.
type RateLimits interface {
	// Heard takes what an answer says of its server's limit. sentAt is when the request was
	// sent.
	Heard(server process.Server, sentAt time.Time, said protocol.RateLimit)
	// Take asks for a token, the right to send one request to a server. The error is that of ctx.
	Take(ctx context.Context, limit ratelimit.Limit) (quota.Verdict, error)
	// Return gives back the token of a request of which no byte was sent.
	Return(server process.Server)
	// Promise is when a request may come back that any of these servers would do for.
	Promise(servers []process.Server) time.Duration
}

// tokenLife is how long a token holds: a host that stood still meanwhile would send what other
// hosts have sent since.
const tokenLife = time.Second

// sendToken is the right to send one request to a server that names a rate limit.
type sendToken struct {
	server  process.Server
	takenAt time.Time // of a clock that goes on while the machine is suspended
}

func (t *sendToken) isOld(now time.Time) bool { return now.Sub(t.takenAt) > tokenLife }

// takeToken asks for a token to send to a server, nil if it names no limit.
func (x *exchange) takeToken(ctx context.Context, to destination) (*sendToken, *errs.Error) {
	limit, limited := x.d.snapshot().RateLimits.Of(to.server)
	if !limited {
		return nil, nil
	}
	verdict, err := x.d.rateLimits.Take(ctx, limit)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return nil, errs.Wrap(err, errs.KindDeadline, "the deadline passed before the request was sent", "allow more time")
	case err != nil:
		return nil, errs.Wrap(err, errs.KindCanceled, "caller went away", "nothing to do")
	case !verdict.OK:
		x.d.servers.NoteNoRoom(to.server, verdict.AskAgain)
		return nil, x.noRoom(to, "all hosts together have sent what its rate limit allows")
	}
	return &sendToken{server: to.server, takenAt: boottime.Now()}, nil
}

// checkToken forbids a send that needs a token and has none, or one that is too old: the server
// may have named its limit since it was picked.
func (x *exchange) checkToken(to destination, t *sendToken) error {
	_, limited := x.d.snapshot().RateLimits.Of(to.server)
	switch {
	case !limited:
		return nil
	case t == nil:
		return x.noRoom(to, "it named a rate limit before the request was sent")
	case t.isOld(boottime.Now()):
		return x.noRoom(to, "this host stood still before the request was sent")
	default:
		return nil
	}
}

func (x *exchange) noRoom(to destination, why string) *errs.Error {
	x.d.metrics.SendWithheld(availability.NoRoom.String())
	return errs.New(errs.KindNoRoom, "backend server "+to.server.ID+" got no request: "+why, "repeat the request after the time in Retry-After")
}

// returnToken gives back a token that was not used.
func (x *exchange) returnToken(t *sendToken) {
	if t != nil {
		x.d.rateLimits.Return(t.server)
	}
}

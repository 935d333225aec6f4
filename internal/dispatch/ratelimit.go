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

// RateLimits keeps the combined request rate of all hosts to a backend server within the rate
// limit that the server reports.
type RateLimits interface {
	// RecordLimit records what a response reports about its server's limit. sentAt is when the
	// request was sent.
	RecordLimit(server process.Server, sentAt time.Time, reported protocol.RateLimit)
	// Take requests a token, the right to send one request to a server. The error is that of
	// ctx.
	Take(ctx context.Context, limit ratelimit.Limit) (quota.Decision, error)
	// Return gives back the token of a request of which no byte was sent.
	Return(server process.Server)
	// ReserveRetry returns after which time a request that any of these servers can run may be
	// repeated.
	ReserveRetry(servers []process.Server) time.Duration
}

// tokenLifetime is how long a token is valid. A host that was paused for longer would exceed
// the limit, because other hosts have sent requests in its place.
const tokenLifetime = time.Second

// sendToken is the right to send one request to a server that reports a rate limit.
type sendToken struct {
	server  process.Server
	takenAt time.Time // on a clock that keeps running while the machine is suspended
}

func (t *sendToken) isExpired(now time.Time) bool { return now.Sub(t.takenAt) > tokenLifetime }

// takeToken requests a token to send to a server. It returns nil if the server reports no
// limit.
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
		return nil, errs.Wrap(err, errs.KindCanceled, "caller disconnected", "nothing to do")
	case !verdict.OK:
		x.d.availability.MarkRateLimited(to.server, verdict.Backoff)
		return nil, x.rateLimitError(to, "its rate limit is used up by the requests of all hosts")
	}
	return &sendToken{server: to.server, takenAt: boottime.Now()}, nil
}

// checkToken forbids a send that needs a token if there is none or it has expired. There is none
// if the server has reported its limit only after takeToken.
func (x *exchange) checkToken(to destination, t *sendToken) error {
	_, limited := x.d.snapshot().RateLimits.Of(to.server)
	switch {
	case !limited:
		return nil
	case t == nil:
		return x.rateLimitError(to, "it reported a rate limit before the request was sent")
	case t.isExpired(boottime.Now()):
		return x.rateLimitError(to, "this host was paused before the request was sent")
	default:
		return nil
	}
}

func (x *exchange) rateLimitError(to destination, why string) *errs.Error {
	x.d.metrics.SendWithheld(availability.RateLimited.String())
	return errs.New(errs.KindServerRateLimit, "backend server "+to.server.ID+" was not sent the request: "+why, "repeat the request after the time in Retry-After")
}

// returnToken gives back an unused token.
func (x *exchange) returnToken(t *sendToken) {
	if t != nil {
		x.d.rateLimits.Return(t.server)
	}
}

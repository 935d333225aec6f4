package frontend

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/world"
)

// identify settles once who the request's customer is, nil for nobody, and refuses a request
// that needs one and has none, before its body is read.
func (f *Frontend) identify(req *dispatch.Request, r *http.Request, snap *world.Snapshot, match route.Match) (*customer.Customer, error) {
	if snap.Customers.Empty() {
		return nil, nil
	}
	req.HideKey = true
	var holder *customer.Customer
	if key, ok := customer.KeyOf(r.Header); ok {
		holder = snap.Customers.Holder(key)
	}
	switch {
	case holder != nil:
		req.Customer = holder.Name
		req.Homes = req.Homes.And(holder.Homes)
		if holder.Priority != nil {
			req.Priority = *holder.Priority
		}
		return holder, nil
	case match.Public:
		return nil, nil
	default:
		return nil, f.refused(req, &dispatch.Refusal{
			Outcome: dispatch.OutcomeNotRun,
			Status:  http.StatusUnauthorized,
			Err:     errs.New(errs.KindUnknownKey, "no customer holds the key of this request", "send one key of a customer as a bearer token; show customers lists customers"),
		})
	}
}

// refused logs a refusal and returns it.
func (f *Frontend) refused(req *dispatch.Request, refusal *dispatch.Refusal) error {
	f.dispatcher.Refused(req, refusal)
	f.metrics.Request(req.Service, string(refusal.Outcome), 0)
	return refusal
}

// limit refuses at once what is beyond the customer's limit, before the body is read: it
// takes no place in any queue and none of the retry allowance.
func (f *Frontend) limit(ctx context.Context, req *dispatch.Request, holder *customer.Customer) error {
	if holder == nil || holder.Limit.None() {
		return nil
	}
	ok, retryAfter := f.conf.Limiter.Allow(ctx, holder.Name, holder.Limit)
	if ok {
		return nil
	}
	return f.refused(req, &dispatch.Refusal{
		Outcome:    dispatch.OutcomeNotRun,
		Status:     http.StatusTooManyRequests,
		RetryAfter: retryAfter,
		Err:        errs.New(errs.KindCustomerLimit, limitReached(holder), "repeat the request after the time in Retry-After; show limits says what is used"),
	})
}

func limitReached(holder *customer.Customer) string {
	return "the limit of customer " + holder.Name + ", " + strconv.FormatFloat(holder.Limit.PerSecond, 'g', -1, 64) + " requests a second, is reached"
}

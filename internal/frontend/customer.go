package frontend

import (
	"context"
	"net/http"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/world"
)

// identify settles once who the request's customer is, and refuses a request that needs
// one and has none, before its body is read.
func (f *Frontend) identify(req *dispatch.Request, r *http.Request, snap *world.Snapshot, match route.Match) error {
	if snap.Customers.Empty() {
		return nil
	}
	req.HideKey = true
	var holder *customer.Customer
	if key, ok := customer.KeyOf(r.Header); ok {
		holder = snap.Customers.Holder(key)
	}
	switch {
	case holder != nil:
		req.Customer = holder.Name
		if holder.Priority != nil {
			req.Priority = *holder.Priority
		}
		return nil
	case match.Public:
		return nil
	default:
		return refuse(http.StatusUnauthorized, errs.KindUnknownKey, "no customer holds the key of this request", "send one key of a customer as a bearer token; show customers lists customers")
	}
}

// limit refuses at once what is beyond the customer's limit, before the body is read: it
// takes no place in any queue and none of the retry allowance.
func (f *Frontend) limit(ctx context.Context, req *dispatch.Request, snap *world.Snapshot) error {
	holder := snap.Customers.Named(req.Customer)
	if f.conf.Limiter == nil || holder == nil || holder.Limit.None() {
		return nil
	}
	ok, retryAfter := f.conf.Limiter.Allow(ctx, holder.Name, holder.Limit)
	if ok {
		return nil
	}
	return &dispatch.Refusal{
		Outcome:    dispatch.OutcomeNotRun,
		Status:     http.StatusTooManyRequests,
		RetryAfter: retryAfter,
		Err:        errs.New(errs.KindCustomerLimit, "the limit of customer "+holder.Name+" is reached", "repeat the request after the time in Retry-After"),
	}
}

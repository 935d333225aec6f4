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

// identifyCustomer determines the customer of a request from its key. It returns nil for an anonymous
// request on a public route and refuses any other request without a valid key. It runs once per request,
// before the body is read.
func (f *Frontend) identifyCustomer(req *dispatch.Request, r *http.Request, snap *world.Snapshot, match route.Match) (*customer.Customer, error) {
	if snap.Customers.Empty() {
		return nil, nil
	}
	req.HideKey = true
	var holder *customer.Customer
	if key, ok := customer.BearerKey(r.Header); ok {
		holder = snap.Customers.ByKey(key)
	}
	switch {
	case holder != nil:
		req.Customer = holder.Name
		req.Homes = req.Homes.Intersect(holder.Homes)
		if holder.Priority != nil {
			req.Priority = *holder.Priority
		}
		return holder, nil
	case match.Public:
		return nil, nil
	default:
		return nil, f.recordRefusal(req, &dispatch.Refusal{
			Outcome: dispatch.OutcomeNotRun,
			Status:  http.StatusUnauthorized,
			Err:     errs.New(errs.KindUnknownKey, "no customer holds the key of this request", "send one key of a customer as a bearer token; show customers lists customers"),
		})
	}
}

// recordRefusal logs and counts a refusal, and returns it as an error.
func (f *Frontend) recordRefusal(req *dispatch.Request, refusal *dispatch.Refusal) error {
	f.dispatcher.RecordRefusal(req, refusal)
	f.metrics.Request(req.Service, string(refusal.Outcome), 0)
	return refusal
}

// enforceLimit refuses a request that exceeds the customer's limit. It runs before the body is read,
// so that a refused request takes no queue slot and none of the retry budget.
func (f *Frontend) enforceLimit(ctx context.Context, req *dispatch.Request, holder *customer.Customer) error {
	if holder == nil || holder.Limit.Unlimited() {
		return nil
	}
	ok, retryAfter := f.conf.Limiter.Allow(ctx, holder.Name, holder.Limit)
	if ok {
		return nil
	}
	return f.recordRefusal(req, &dispatch.Refusal{
		Outcome:    dispatch.OutcomeNotRun,
		Status:     http.StatusTooManyRequests,
		RetryAfter: retryAfter,
		Err:        errs.New(errs.KindCustomerLimit, limitMessage(holder), "repeat the request after the time in Retry-After; show limits says what is used"),
	})
}

func limitMessage(holder *customer.Customer) string {
	return "the limit of customer " + holder.Name + ", " + strconv.FormatFloat(holder.Limit.PerSecond, 'g', -1, 64) + " requests a second, is reached"
}

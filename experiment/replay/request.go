package replay

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/experiment/simtime"
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/waitqueue"
	"github.com/pearshelf/pearshelf/internal/world"
)

// request is a caller's request on its way, as dispatch keeps it.
type request struct {
	host    *host // that serves it now
	entry   *host // to which the caller came first
	route   *Route
	asked   time.Duration
	tried   []string
	ran     int
	arrived int
	flights []*flight
	expiry  *simtime.Timer
	over    bool
	copies  int
	content string
	deadly  bool // ends the servers that run it
	returns int  // how often the caller has come back
	asks    int  // how often a token was asked for that was not given
	// unreachable counts the servers that the host could not connect to, relayed is set once the
	// request has been relayed.
	unreachable int
	relayed     bool
	// waitsAs is its number while it waits for a free slot, 0 if it does not. promised is when a
	// request that was refused there should come back.
	waitsAs  uint64
	promised time.Duration
}

// flight is one send of a request.
type flight struct {
	request   *request
	placement *policy.Placement
	server    *server
	job       *job
	sent      time.Duration
	from      *host
	// letGo is set while nobody waits for the answer of a trial but its host.
	letGo bool
	// incarnation is that of the host which sent it.
	incarnation uint64
}

// enter places the request, or refuses it for having ended servers.
func (r *request) enter() {
	refuses, asked := r.quarantined()
	switch {
	case !refuses:
		r.place()
	case asked:
		r.host.fleet.clock.After(grantWait, r.enterAgain)
	default:
		r.endQuarantined()
	}
}

// enterAgain is enter for a request that has waited to be granted a trial.
func (r *request) enterAgain() {
	if r.over {
		return
	}
	if refuses, _ := r.quarantined(); refuses {
		r.endQuarantined()
		return
	}
	r.place()
}

func (r *request) quarantined() (refused, asked bool) {
	if r.content == "" {
		return false, false
	}
	return r.host.guard.refuses(contentID(r.content))
}

// isQuarantined reports whether the request is not sent again, for having ended servers.
func (r *request) isQuarantined() bool {
	refused, _ := r.quarantined()
	return refused
}

func (r *request) endQuarantined() {
	if !r.deadly {
		r.host.fleet.result.Ended.Innocent++
	}
	r.end(refused)
}

func (r *request) deadline() time.Duration { return r.asked + time.Duration(r.route.Timeout) }

func (r *request) policyRequest() policy.Request {
	f := r.host.fleet
	waiting := len(r.flights)
	return policy.Request{
		Service:      r.route.Service,
		Idempotent:   r.route.Idempotent,
		DataCentre:   dataCentreName(r.host.dataCentre),
		Objective:    time.Duration(r.route.Objective),
		Group:        r.route.Name,
		FirstAttempt: r.arrived == 0 && waiting == 0,
		Retry:        r.arrived > 0 || waiting > 0,
		LastAttempt:  r.ran+waiting+1 >= r.attempts(),
		FleetSize:    f.pattern.Hosts,
		Exclude:      r.tried,
		Priority:     r.route.Priority,
		Customer:     r.route.Customer,
		Weight:       r.route.Limit,
		ReceivedAt:   simtime.Epoch.Add(r.asked),
		Deadline:     simtime.Epoch.Add(r.deadline()),

		Availability: r.host.servers.Now(),
		RateLimits:   r.host.limits.view,
	}
}

func (r *request) attempts() int { return max(r.route.Attempts, 1) }

// place sends the request to the server that the policy picks, or relays it.
func (r *request) place() {
	f := r.host.fleet
	if r.shouldRelay() && r.relay() {
		return
	}
	if r.host.table.PathLost(f.clock.Time()) {
		r.refuse(errs.KindPathLost)
		return
	}
	req := r.policyRequest()
	req.MayWait = len(r.flights) == 0
	d, waiting := r.host.waits.Submit(f.clock.Time(), waitqueue.Request{View: r.host.views[r.route.Service], Policy: req, Refresh: r.refreshed})
	if waiting {
		r.waitsAs = d.ID
		r.host.waiting[d.ID] = r
		r.host.scheduleReview()
		return
	}
	r.picked(d)
}

// refreshed is what a look for a free slot sees of the request.
func (r *request) refreshed() (*world.ServiceView, policy.Request) {
	return r.host.views[r.route.Service], r.policyRequest()
}

// picked goes on with a request that a server was picked for, or that is refused.
func (r *request) picked(d waitqueue.Decision) {
	if d.Err != nil {
		if len(r.flights) == 0 {
			r.promised = d.RetryAfter
			r.refuse(errs.KindOf(d.Err))
		}
		return
	}
	placement := d.Placement
	if limit, limited := r.host.limits.view.Of(availability.ServerOf(r.route.Service, &placement.Server)); limited {
		r.host.limits.take(limit, func(verdict quota.Decision) { r.decided(placement, verdict) })
		return
	}
	r.begin(placement)
}

// begin sends the request, with a trial beside it and a look at whether it needs a copy.
func (r *request) begin(placement *policy.Placement) {
	if !r.host.connects(placement.Server.ID) {
		r.finishUnsent(placement)
		r.place()
		return
	}
	first := r.send(placement)
	if r.host.pathReview == nil {
		r.host.checkPaths()
	}
	if len(r.flights) == 1 {
		r.trial(first)
		r.review(first)
	}
}

// decided sends the request if its server's rate limit has room, else to another server.
func (r *request) decided(placement *policy.Placement, verdict quota.Decision) {
	server := availability.ServerOf(r.route.Service, &placement.Server)
	switch {
	case verdict.OK && !r.over:
		r.begin(placement)
		return
	case verdict.OK:
		r.host.limits.table.ReturnToken(r.host.fleet.clock.Time(), server.ID)
	default:
		r.host.servers.MarkRateLimited(server, verdict.Backoff)
	}
	r.finishUnsent(placement)
	r.asks++
	switch {
	case r.over:
	case r.asks < mostAsked:
		r.place()
	default:
		r.refuse(errs.KindServerRateLimit)
	}
}

// trial sends a copy to a doubted server where the policy wants one.
func (r *request) trial(first *flight) {
	if !r.route.Idempotent || r.ran+2 > r.attempts() {
		return
	}
	req := r.policyRequest()
	req.Exclude = append(slices.Clone(r.tried), first.placement.Server.ID)
	req.Parallel = true
	req.FirstServerBelief = first.placement.Belief
	if placement, ok := r.host.table.PlaceTrial(r.host.fleet.clock.Time(), r.host.views[r.route.Service], req); ok {
		r.copies++
		r.send(placement)
	}
}

// keepTrial lets a trial go on without its request, up to its time.
func (fl *flight) keepTrial() bool {
	f := fl.request.host.fleet
	left := fl.sent + fl.placement.TrialTimeout - f.clock.Now
	if fl.placement.TrialTimeout == 0 || left <= 0 {
		return false
	}
	fl.letGo = true
	f.clock.After(left, func() {
		if fl.letGo {
			fl.letGo = false
			fl.server.cancel(fl.job)
			fl.request.finish(fl, policy.Result{Outcome: policy.Abandoned, Elapsed: f.clock.Now - fl.sent})
		}
	})
	return true
}

func (r *request) send(placement *policy.Placement) *flight {
	f := r.host.fleet
	fl := &flight{request: r, placement: placement, server: f.servers[placement.Server.ID], sent: f.clock.Now, from: r.host, incarnation: r.host.incarnation}
	fl.job = &job{route: r.route, deadline: r.deadline()}
	if r.deadly {
		fl.job.ended = func() { f.result.Ended.ended(r.content) }
	}
	delay := f.delay(r.host.dataCentre, fl.server.dataCentre)
	fl.job.done = func(a answer) { f.clock.After(delay, func() { r.answered(fl, a) }) }
	f.spent(r.route.Service).note(f.clock.Now, r.arrived > 0 || len(r.flights) > 0)
	r.flights = append(r.flights, fl)
	f.result.Runs[fl.server.id]++
	if !fl.from.reaches(fl.server) {
		r.sendIntoCut(fl)
		r.host.tell()
		return fl
	}
	f.clock.After(delay, func() {
		if !fl.job.over {
			f.said.arrived(f.clock.Now, fl.from.name, fl.server.id)
			f.limits.arrived(f.clock.Now, fl.from.name, fl.server)
			fl.server.take(fl.job)
		}
	})
	r.host.tell()
	return fl
}

// review asks the policy whether the request should have a second copy.
func (r *request) review(first *flight) {
	f := r.host.fleet
	if !r.route.Idempotent || r.ran+2 > r.attempts() || r.over || len(r.flights) != 1 || r.flights[0] != first {
		return
	}
	view := r.host.views[r.route.Service]
	req := r.policyRequest()
	req.Exclude = append(slices.Clone(r.tried), first.placement.Server.ID)
	req.Parallel = true
	req.FirstServerBelief = first.placement.Belief
	copyNow, after := r.host.table.ReviewCopy(f.clock.Time(), view, req, first.placement)
	switch {
	case copyNow:
		if placement, err := r.host.table.Pick(f.clock.Time(), view, req); err == nil {
			r.copies++
			r.send(placement)
		}
	case after > 0:
		f.clock.After(after, func() { r.review(first) })
	}
}

// answered takes what a server made of the request.
func (r *request) answered(fl *flight, a answer) {
	f := r.host.fleet
	took := f.clock.Now - fl.sent
	result, load := a.reply, a.said.Load
	server := availability.ServerOf(r.route.Service, &fl.placement.Server)
	fl.from.servers.Record(server, a.said)
	fl.from.limits.hear(server, fl.sent, a.said.Limit)
	f.said.answered(f.clock.Now, fl.from.name, fl.server.id, a.said)
	f.limits.answered(f.clock.Now, fl.from.name, fl.server, a.said.Limit)
	if fl.letGo {
		fl.letGo = false
		r.finish(fl, policy.Result{Outcome: outcomeOf(result), FirstByte: took, Load: load})
		return
	}
	i := slices.Index(r.flights, fl)
	if i < 0 {
		return // given up meanwhile
	}
	r.flights = slices.Delete(r.flights, i, i+1)
	if result == replyUnreachable {
		r.tried = append(r.tried, fl.server.id)
		r.unreachable++
		r.finish(fl, policy.Result{Outcome: policy.Unreachable, Unsent: true})
		r.host.checkPaths()
		r.place()
		return
	}
	r.arrived++
	switch result {
	case replyGood:
		r.ran++
		r.finish(fl, policy.Result{Outcome: policy.Good, FirstByte: took, Load: load})
		r.host.guard.served(contentID(r.content))
		r.end(served)
	case replyBroken:
		r.ran++
		r.tried = append(r.tried, fl.server.id)
		r.finish(fl, policy.Result{Outcome: policy.Failed, Elapsed: took})
		r.host.guard.ended(contentID(r.content), r.route.Service, fl.server.id)
		r.again(failed)
	case replyError:
		r.ran++
		r.tried = append(r.tried, fl.server.id)
		r.finish(fl, policy.Result{Outcome: policy.Failed, FirstByte: took, Load: load})
		r.again(failed)
	case replyShed:
		r.tried = append(r.tried, fl.server.id)
		r.finish(fl, policy.Result{Outcome: policy.Shed, Load: load})
		r.again(refused)
	}
}

// outcomeOf is what an answer says of its server.
func outcomeOf(result reply) policy.Outcome {
	switch result {
	case replyGood:
		return policy.Good
	case replyError:
		return policy.Failed
	default:
		return policy.Shed
	}
}

// again sends the request to another server if that is allowed.
func (r *request) again(otherwise outcome) {
	if len(r.flights) > 0 {
		return // its copy goes on
	}
	if r.ran > 0 {
		otherwise = failed
	}
	mayRun := r.route.Idempotent || r.ran == 0
	if !mayRun || r.ran >= r.attempts() || r.isQuarantined() {
		r.end(otherwise)
		return
	}
	w := &retryWait{request: r, otherwise: otherwise}
	decision := w.allowRetry(false)
	switch {
	case decision.Allowed:
		r.place()
	case decision.Wait > 0:
		w.start(decision.Wait)
	default:
		r.withhold(otherwise)
	}
}

// withhold ends the request for lack of a retry.
func (r *request) withhold(o outcome) {
	r.host.fleet.result.route(r.route.Name).Withheld++
	r.end(o)
}

// expire ends the request when its time is over.
func (r *request) expire() {
	if r.over {
		return
	}
	for _, fl := range r.flights {
		fl.server.cancel(fl.job)
		r.finish(fl, policy.Result{Outcome: policy.Failed, TimedOut: true, Elapsed: r.host.fleet.clock.Now - fl.sent})
	}
	r.flights = nil
	r.end(failed)
}

func (r *request) refuse(kind errs.Kind) {
	if r.ran > 0 {
		r.end(failed)
		return
	}
	f := r.host.fleet
	f.result.reasons[string(kind)]++
	after := r.retryAfter()
	if r.returns < r.route.Returns && f.clock.Now+after < r.deadline() {
		r.returns++
		f.clock.After(after, r.comeBack)
		return
	}
	r.end(refused)
}

// retryAfter is when the refused caller should come back.
func (r *request) retryAfter() time.Duration {
	req := r.policyRequest()
	absence, none := req.Availability.UnavailabilityOf(req.Service, r.host.views[req.Service].Backends)
	switch {
	case none && absence.Reason == availability.Resting:
		return absence.Remaining
	case none && absence.Reason == availability.RateLimited:
		return max(absence.Remaining, r.host.limits.promise(r.host.views[req.Service]))
	}
	if r.promised > 0 {
		return r.promised
	}
	return r.host.table.RetryAfter(req.Service)
}

// comeBack is the caller's next try, at another host.
func (r *request) comeBack() {
	if r.over {
		return
	}
	host := r.host.fleet.anyHost()
	if host == nil {
		r.end(failed)
		return
	}
	r.host = host
	r.place()
}

// end notes what the caller got, and gives up what is still under way.
func (r *request) end(o outcome) {
	r.over = true
	r.stopWaiting()
	r.expiry.Stop()
	for _, fl := range r.flights {
		if fl.keepTrial() {
			continue
		}
		fl.server.cancel(fl.job)
		r.finish(fl, policy.Result{Outcome: policy.Abandoned, Elapsed: r.host.fleet.clock.Now - fl.sent})
	}
	r.flights = nil
	r.host.fleet.result.note(r, o)
}

func (r *request) finishUnsent(placement *policy.Placement) {
	r.host.table.Finish(r.host.fleet.clock.Time(), placement, policy.Result{Outcome: policy.Neutral, Unsent: true})
}

func (r *request) finish(fl *flight, done policy.Result) {
	if fl.incarnation != r.host.incarnation || r.host.isDown {
		return // the host that sent it has been killed
	}
	r.host.table.Finish(r.host.fleet.clock.Time(), fl.placement, done)
	r.host.tell()
	r.host.requestEnded(fl.placement)
}

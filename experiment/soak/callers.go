package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// Paths of the deployment's routes. What follows is a request's own token, by
// which backend servers and callers mean the same request.
const (
	pathOrder    = "/order"
	pathRead     = "/read"
	pathDownload = "/download"
	pathVersion  = "/version"
)

const (
	// callerTimeout is told to the fleet; a caller waits callerPatience for an
	// answer that does not come.
	callerTimeout  = 2 * time.Second
	callerPatience = 8 * time.Second
	leastThink     = 5 * time.Millisecond
	mostThink      = 60 * time.Millisecond
	// leaveAfter is when a caller that loses patience closes its connection.
	leaveAfter = 15 * time.Millisecond
)

// versionPath is the route that a version of the configuration adds.
func versionPath(version int) string { return pathVersion + strconv.Itoa(version) }

// kinds of requests, drawn with equal chance.
var kinds = []string{
	pathOrder, pathOrder, pathOrder, pathOrder, pathOrder,
	pathRead, pathRead, pathRead, pathRead,
	pathDownload, pathVersion,
}

// startCallers starts callers that keep their connections, until stop.
func (s *soak) startCallers(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i := range callerCount {
		c := &caller{s: s, number: i, rng: rand.New(rand.NewPCG(s.conf.Seed, uint64(i)+1))}
		c.transport = &http.Transport{MaxIdleConnsPerHost: 2}
		c.client = &http.Client{Transport: c.transport, Timeout: callerPatience}
		running.Go(func() {
			defer c.transport.CloseIdleConnections()
			for ctx.Err() == nil {
				c.call(ctx)
				pause(ctx, leastThink+time.Duration(c.rng.Int64N(int64(mostThink-leastThink))))
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// caller sends one request after another to hosts at random.
type caller struct {
	s         *soak
	number    int
	sent      int
	rng       *rand.Rand
	transport *http.Transport
	client    *http.Client
}

func (c *caller) call(ctx context.Context) {
	c.sent++
	h := c.s.hosts[c.rng.IntN(len(c.s.hosts))]
	a := &attempt{
		kind:  kinds[c.rng.IntN(len(kinds))],
		token: fmt.Sprintf("c%d-%d", c.number, c.sent),
		host:  h,
		life:  h.lifeNumber(),
		sent:  time.Now(),
	}
	path := a.kind + "/" + a.token
	if a.kind == pathVersion {
		a.version = c.s.journal.anyVersion(c.rng)
		path = versionPath(a.version) + "/" + a.token
	}
	if a.kind == pathRead && c.rng.IntN(10) == 0 {
		a.left = true
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, leaveAfter)
		defer leave()
	}
	c.s.journal.begin(path, a)
	c.exchange(ctx, path, a)
	a.done = time.Now()
	a.sameLife = h.lifeNumber() == a.life
	a.left = a.left || ctx.Err() != nil
	c.s.journal.end(a)
}

func (c *caller) exchange(ctx context.Context, path string, a *attempt) {
	method, body := http.MethodGet, ""
	if a.kind == pathOrder {
		method, body = http.MethodPost, a.token
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.host.address+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return
	}
	req.GetBody = nil // the client must not repeat a request by itself, nor one without a body
	req.Body = upstream.Body(req.Body)
	req.Header.Set(dispatch.HeaderTimeout, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.outcome = dispatch.Outcome(resp.Header.Get(dispatch.HeaderOutcome))
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return
	}
	a.own = isOwn(a, path, body, answer)
}

// isOwn reports whether a whole answer is that of the request.
func isOwn(a *attempt, path, body string, answer []byte) bool {
	if a.kind == pathDownload {
		return len(answer) == downloadSize
	}
	return strings.HasSuffix(string(answer), " path="+path+" body="+body)
}

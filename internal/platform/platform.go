// Package platform reads the platform's configuration service. It only reads
// and watches; nothing can be written there.
package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

const (
	// MaxValueBytes is the platform's own limit of a value.
	MaxValueBytes = 1 << 20
	// WatchWait is how long one watch call waits. An open connection may go silent for good, which shows only once the
	// call has been without an answer for WatchWait and CallTimeout; no new configuration arrives until then.
	WatchWait = 2 * time.Second
	// CallTimeout bounds a call beyond its wait.
	CallTimeout = 5 * time.Second
	// MinBackoff and MaxBackoff bound the wait between failed watch calls.
	MinBackoff = 250 * time.Millisecond
	MaxBackoff = 15 * time.Second

	remedyWait = "nothing to do: the last good configuration stays in force; see that the platform comes back"
)

// Value is one document of the platform.
type Value struct {
	Key      string
	Revision uint64
	Raw      []byte
}

// Source is where documents come from: this package's Client, or an adapter to
// another platform.
type Source interface {
	// Documents returns the keys that a host must hold before it is ready, nil
	// for the product's own index and list of hosts.
	Documents() []string
	// Get reads a document now, nil if there is none newer than after.
	Get(ctx context.Context, key string, after uint64) (*Value, error)
	// Watch delivers every newer document until ctx ends. after gives the
	// revision that is held; health is told whether the last call succeeded.
	Watch(ctx context.Context, after func(key string) uint64, deliver func(*Value), health func(error))
}

// watchedKeys are what a reader watches; shards are read when the index says so.
var watchedKeys = []string{"services/index", "hosts"}

// Client reads one platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at a base URL.
func NewClient(base string) *Client {
	transport := upstream.NewHTTPTransport((&net.Dialer{Timeout: CallTimeout}).DialContext, upstream.MaxHeadBytes)
	transport.Proxy = http.ProxyFromEnvironment
	transport.ForceAttemptHTTP2 = true
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// Documents returns nil: the index says what there is.
func (c *Client) Documents() []string { return nil }

// Get returns a value newer than after, or nil if there is none.
func (c *Client) Get(ctx context.Context, key string, after uint64) (*Value, error) {
	return c.wait(ctx, key, after, 0)
}

// wait returns a value newer than after, waiting up to wait for one. The result
// is nil if there is none.
func (c *Client) wait(ctx context.Context, key string, after uint64, wait time.Duration) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if wait > 0 {
		query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/keys/"+key+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindPlatformUnavailable, "bad platform address", "correct platform.address in the settings")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindPlatformUnavailable, "platform cannot be reached", remedyWait)
	}
	defer resp.Body.Close()
	return read(key, resp)
}

func read(key string, resp *http.Response) (*Value, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, nil
	default:
		return nil, errs.New(errs.KindPlatformUnavailable, fmt.Sprintf("platform answered %d for %s", resp.StatusCode, key), remedyWait)
	}
	revision, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindPlatformUnavailable, "platform sent no revision in ETag", remedyWait)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindPlatformUnavailable, "platform's answer broke off", remedyWait)
	}
	if len(raw) > MaxValueBytes {
		return nil, errs.New(errs.KindPlatformUnavailable, "platform sent more than a megabyte", "split the document into more shards")
	}
	return &Value{Key: key, Revision: revision, Raw: raw}, nil
}

// Watch watches the index and the list of hosts until ctx ends.
func (c *Client) Watch(ctx context.Context, after func(key string) uint64, deliver func(*Value), health func(error)) {
	var watches sync.WaitGroup
	for _, key := range watchedKeys {
		watches.Go(func() {
			c.watchKey(ctx, key, func() uint64 { return after(key) }, deliver, health)
		})
	}
	watches.Wait()
}

func (c *Client) watchKey(ctx context.Context, key string, after func() uint64, deliver func(*Value), health func(error)) {
	backoff := MinBackoff
	for ctx.Err() == nil {
		value, err := c.wait(ctx, key, after(), WatchWait)
		if ctx.Err() != nil {
			return
		}
		health(err)
		if err != nil {
			backoff = sleep(ctx, backoff)
			continue
		}
		backoff = MinBackoff
		if value == nil {
			continue
		}
		deliver(value)
		if value.Revision <= after() {
			// A stale platform answers at once with what it has: do not spin.
			sleep(ctx, MinBackoff)
		}
	}
}

// sleep waits with full jitter and returns the next backoff.
func sleep(ctx context.Context, backoff time.Duration) time.Duration {
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return min(2*backoff, MaxBackoff)
}

// Interface guard.
var _ Source = (*Client)(nil)

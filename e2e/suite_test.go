// Package e2e proves the fleet's promises with real daemons on real sockets.
package e2e

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/daemon"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// patience bounds how long a condition may take; no proof depends on it.
const patience = 30 * time.Second

// TestMain keeps the hosts' logs out of the tests' output.
func TestMain(m *testing.M) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"}); err != nil {
		panic(err)
	}
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pearshelf end to end")
}

// option changes a test fleet.
type option func(*fleet.Config)

// quick makes the control loop fast, so that tests are short.
func quick(_ int, s *settings.Settings) {
	s.Timing.Tick = config.Duration(20 * time.Millisecond)
	s.Timing.ProbeInterval = config.Duration(200 * time.Millisecond)
	s.Timing.ProbeTimeout = config.Duration(80 * time.Millisecond)
	s.Timing.GossipInterval = config.Duration(20 * time.Millisecond)
	s.Timing.ClaimHorizon = config.Duration(10 * time.Millisecond)
	s.Timing.StopGrace = config.Duration(300 * time.Millisecond)
}

func servers(n int) []config.Backend {
	list := make([]config.Backend, n)
	for i := range list {
		list[i] = config.Backend{ID: "b" + string(rune('1'+i))}
	}
	return list
}

// shop is a service with idempotent reads, downloads and non-idempotent posts.
func shop(n int) config.Service {
	return config.Service{
		Name:      "shop",
		Slots:     8,
		Detection: config.DetectionFast,
		Routes: []config.Route{
			{Path: "/shop", Idempotent: false},
			{Path: "/shop/read", Idempotent: true},
			{Path: "/download", Idempotent: true},
		},
		Backends: servers(n),
	}
}

func start(hosts int, services []config.Service, options ...option) *fleet.Fleet {
	GinkgoHelper()
	conf := fleet.Config{
		Hosts:       hosts,
		DataCentres: []string{"dc1", "dc2", "dc3"},
		Services:    services,
		Settings:    quick,
		Backend: func(service string, b config.Backend) backend.Config {
			return backend.Config{ID: service + "-" + b.ID, Slots: 8, Download: []byte(strings.Repeat("0123456789abcdef", 1<<16))}
		},
	}
	for _, o := range options {
		o(&conf)
	}
	f, err := fleet.Start(conf)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	Expect(f.WaitReady(ctx)).To(Succeed())
	for i, d := range f.Hosts { // until all hosts are old enough to grant claims
		Eventually(func() string {
			return mustCall("POST", "http://"+d.CallerAddress()+"/shop/order", "", "Idempotency-Key", fmt.Sprint("warm-", i)).outcome()
		}, patience).Should(Equal("complete"))
	}
	waitForRetries(f, started)
	return f
}

// waitForRetries waits until hosts that pick servers themselves have their part of the retry
// allowance: in their first window they have hardly any.
func waitForRetries(f *fleet.Fleet, started time.Time) {
	if s := f.Settings(0); s.Forwarding != nil && !*s.Forwarding {
		time.Sleep(time.Until(started.Add(time.Duration(s.Retry.Window))))
	}
}

// reply is an answer read to its end.
type reply struct {
	status  int
	header  http.Header
	body    string
	bodyErr error
}

func (r reply) outcome() string { return r.header.Get("Pearshelf-Outcome") }

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

func call(method, url, body string, headers ...string) (reply, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(raw), bodyErr: err}, nil
}

func mustCall(method, url, body string, headers ...string) reply {
	GinkgoHelper()
	r, err := call(method, url, body, headers...)
	Expect(err).NotTo(HaveOccurred())
	return r
}

// longHorizon remembers finished keys for as long as a test may need.
func longHorizon(c *fleet.Config) {
	before := c.Settings
	c.Settings = func(i int, s *settings.Settings) {
		before(i, s)
		s.Timing.ClaimHorizon = config.Duration(4 * time.Second)
		s.Timing.ClaimTimeout = config.Duration(2 * time.Second) // the race detector is slow
	}
}

// serviceTime makes servers take a while.
func serviceTime(c *fleet.Config) {
	before := c.Backend
	c.Backend = func(service string, b config.Backend) backend.Config {
		conf := before(service, b)
		conf.ServiceTime = 10 * time.Millisecond
		return conf
	}
}

// withLinks puts a relay in front of every host.
func withLinks(c *fleet.Config) { c.Links = true }

// waitStale waits until a frozen host's view has outlived its freshness.
func waitStale(d *daemon.Daemon) {
	GinkgoHelper()
	Eventually(func() bool { return time.Now().After(d.Snapshot().FreshUntil) }, patience).Should(BeTrue())
}

// download gives all servers one download of a size.
func download(size int) option {
	return func(c *fleet.Config) {
		before := c.Backend
		content := make([]byte, size)
		c.Backend = func(service string, b config.Backend) backend.Config {
			conf := before(service, b)
			conf.Download = content
			return conf
		}
	}
}

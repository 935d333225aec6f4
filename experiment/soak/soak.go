// Package soak runs real daemons as separate processes on loopback, injects
// faults from outside them by a seed, and checks the promises to callers by what
// callers, backend servers and the platform saw. Faults come in series and
// overlap: signals, restarts, changes of the configuration, links that delay,
// reset, cut one way or go silent, failing backend servers, an absent platform.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
	"github.com/pearshelf/pearshelf/standin/link"
	"github.com/pearshelf/pearshelf/standin/platform"
)

const (
	serviceName  = "shop"
	serverCount  = 6
	serverSlots  = 8
	serviceTime  = 20 * time.Millisecond
	callerCount  = 12
	dataCentres  = 3
	downloadSize = 200 << 10

	// startLimit bounds the start of the fleet, recoverLimit its return after the
	// last fault: the users' bound.
	startLimit   = time.Minute
	recoverLimit = 15 * time.Second
	// calmLength is how long requests are counted after the return, and
	// calmServed the part of them that must be served.
	calmLength = 3 * time.Second
	calmServed = 0.9
	// idleLimit is how long servers may still work once all callers have left.
	idleLimit = 5 * time.Second
)

// Config of a run.
type Config struct {
	// Seed decides the faults and the requests, not their timing.
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Hosts is the number of daemons.
	Hosts int
	// Daemon is the path of the pearshelfd program.
	Daemon string
	// Dir takes settings and logs; it is kept when a check fails.
	Dir string
	// Progress gets a line every few seconds, nil for none.
	Progress io.Writer
}

// Report is what a run came to.
type Report struct {
	Seed     uint64
	Direct   bool // hosts pick directly; otherwise owner hosts do
	Requests int
	Served   int
	Refused  int // told as not run
	// AtCut are the first tries at hosts without a path to servers, ServedAtCut those that were
	// served.
	AtCut, ServedAtCut int
	Ended              int // servers that the request ended which ends servers
	Faults             map[string]int
	Findings           []Finding
}

// Finding is a promise that was broken.
type Finding struct {
	Rule   string
	Detail string
}

// Run plays one seed. An error means that the run itself could not be made.
func Run(ctx context.Context, conf Config) (*Report, error) {
	s := &soak{
		conf:    conf,
		rng:     rand.New(rand.NewPCG(conf.Seed, uint64(conf.Hosts))),
		journal: newJournal(),
		faults:  make(map[string]int),
	}
	s.direct = conf.Seed%2 == 0
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	stop := s.startCallers(ctx)
	stopEnding := s.startEndingCaller(ctx)
	stopPathLosses := s.startPathLosses(ctx)
	s.injectFaults(ctx)
	stopPathLosses()
	stopEnding()
	s.endFaults()
	findings := s.checkRecovery(ctx)
	stop()
	findings = append(findings, s.checkEnds()...)
	findings = append(findings, s.checkIdle(ctx)...)
	findings = append(findings, s.journal.check(s.hosts)...)
	findings = append(findings, s.checkSaid()...)
	findings = append(findings, s.checkLimits()...)
	findings = append(findings, s.checkPaths()...)
	return s.report(findings), nil
}

// soak is one run.
type soak struct {
	conf    Config
	rng     *rand.Rand
	direct  bool
	ports   *ports
	journal *journal

	platform     *platform.Platform
	platformLink *link.Link
	servers      []*backend.Server
	serverLinks  []*link.Link
	hosts        []*host
	publishing   sync.Mutex // for the two below
	document     config.Document
	version      int
	said         said
	ending       ending

	ends sync.WaitGroup // of faults that end by themselves

	mu         sync.Mutex
	faults     map[string]int
	pathLosses []pathLoss
	pathTally  tally // of first tries at hosts without a path
}

func (s *soak) start(ctx context.Context) error {
	var err error
	if s.ports, err = claimPorts(); err != nil {
		return err
	}
	if s.platform, err = platform.Start(); err != nil {
		return err
	}
	if s.platformLink, err = linkTo(s.platform.Address()); err != nil {
		return err
	}
	if err := s.startServers(); err != nil {
		return err
	}
	if err := s.publish(); err != nil {
		return err
	}
	if err := s.startHosts(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := fleet.Until(ctx, "all hosts ready", s.allReady); err != nil {
		return fmt.Errorf("seed %d did not start: %w", s.conf.Seed, err)
	}
	return nil
}

func linkTo(target string) (*link.Link, error) {
	l, err := link.New()
	if err != nil {
		return nil, err
	}
	l.Connect(target)
	return l, nil
}

func (s *soak) startServers() error {
	svc := config.Service{
		Name:      serviceName,
		Slots:     serverSlots,
		Detection: config.DetectionFast,
		Routes: []config.Route{
			{Path: pathOrder},
			{Path: pathRead, Idempotent: true},
			{Path: pathDownload, Idempotent: true},
		},
	}
	for i := range serverCount {
		id := fmt.Sprint("b", i+1)
		server, err := backend.Start(backend.Config{
			ID: id, Slots: serverSlots, ServiceTime: serviceTime, Seed: s.conf.Seed + uint64(i),
			Download: make([]byte, downloadSize), Ran: func(r *http.Request) { s.ran(i, r) },
			Arrived: func(r *http.Request, said protocol.ServerState) {
				s.said.arrived(i, r.URL.Path, said, s.serverLinks[i].Origin(r.RemoteAddr))
			},
		})
		if err != nil {
			return err
		}
		s.servers = append(s.servers, server)
		l, err := linkTo(server.Address())
		if err != nil {
			return err
		}
		s.serverLinks = append(s.serverLinks, l)
		svc.Backends = append(svc.Backends, config.Backend{ID: id, Address: l.Address(), Started: time.Now().UnixMilli()})
	}
	s.document = config.Document{Services: []config.Service{svc}}
	return nil
}

// publish makes a new version of the configuration, told by a route of its own.
func (s *soak) publish() error {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.version++
	svc := &s.document.Services[0]
	svc.Routes = append(svc.Routes, config.Route{Path: versionPath(s.version), Idempotent: true})
	if _, err := s.platform.PutShard(fleet.Shard, &s.document); err != nil {
		return err
	}
	s.journal.published(s.version, time.Now())
	return nil
}

func (s *soak) allReady() bool {
	for _, h := range s.hosts {
		if !h.ready() {
			return false
		}
	}
	return true
}

// checkRecovery waits for the fleet after the last fault and counts what it serves.
func (s *soak) checkRecovery(ctx context.Context) []Finding {
	limit, cancel := context.WithTimeout(ctx, recoverLimit)
	defer cancel()
	if err := fleet.Until(limit, "all hosts ready", s.allReady); err != nil {
		return []Finding{{Rule: "recovery", Detail: fmt.Sprintf("not all hosts are ready %s after the last fault", recoverLimit)}}
	}
	from := time.Now()
	pause(ctx, calmLength)
	sent, served := s.journal.servedSince(from)
	if float64(served) < calmServed*float64(sent) {
		return []Finding{{Rule: "recovery", Detail: fmt.Sprintf("%d of %d requests served after the faults", served, sent)}}
	}
	return nil
}

// checkIdle waits until no server works: all callers have left.
func (s *soak) checkIdle(ctx context.Context) []Finding {
	limit, cancel := context.WithTimeout(ctx, idleLimit)
	defer cancel()
	busy := func() int {
		total := 0
		for _, server := range s.servers {
			total += server.InUse()
		}
		return total
	}
	if err := fleet.Until(limit, "servers idle", func() bool { return busy() == 0 }); err != nil {
		return []Finding{{Rule: "cancellation", Detail: fmt.Sprintf("%d requests still at work %s after the last caller left", busy(), idleLimit)}}
	}
	return nil
}

func (s *soak) report(findings []Finding) *Report {
	r := &Report{Seed: s.conf.Seed, Direct: s.direct, Faults: s.faults, Findings: findings}
	r.Requests, r.Served, r.Refused = s.journal.counts()
	r.Ended = s.ending.count()
	r.AtCut, r.ServedAtCut = s.pathTally.sent, s.pathTally.served
	return r
}

// close ends everything that the run started, and nothing else.
func (s *soak) close() {
	for _, h := range s.hosts {
		h.close()
	}
	for _, l := range append(s.serverLinks, s.platformLink) {
		if l != nil {
			l.Close()
		}
	}
	for _, server := range s.servers {
		server.Close()
	}
	if s.platform != nil {
		s.platform.Close()
	}
	if s.ports != nil {
		s.ports.release()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

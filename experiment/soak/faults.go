package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pearshelf/pearshelf/standin/backend"
)

// Pauses between two faults, and how long a fault lasts. A fault often begins
// before the last one has ended.
const (
	leastPause = 150 * time.Millisecond
	mostPause  = 900 * time.Millisecond
	leastFault = 200 * time.Millisecond
	mostFault  = 2500 * time.Millisecond

	progressEvery = 5 * time.Second
	// killedAtOnce is the share of the hosts of a joint kill.
	killedAtOnce = 0.6
	// linkDelay is what a delayed link adds to each piece of data.
	linkDelay = 60 * time.Millisecond
)

// Kinds of disturbances of a host that checks ask for.
const (
	kindPlannedStop = "planned stop"
	kindKill        = "kill"
	kindPause       = "pause"
	kindPeerCut     = "peer cut"
	kindCallerLink  = "caller link"
	kindPlatform    = "platform"
	kindServers     = "servers"
	kindServerLink  = "server link"
	kindPath        = "path to servers"
)

// fault begins a disturbance that ends by itself.
type fault struct {
	name  string
	begin func(s *soak, ctx context.Context)
}

// faults are drawn with equal chance.
var faults = []fault{
	{"planned stop", func(s *soak, ctx context.Context) { s.restartOne(ctx, kindPlannedStop, syscall.SIGTERM) }},
	{"kill", func(s *soak, ctx context.Context) { s.restartOne(ctx, kindKill, syscall.SIGKILL) }},
	{"joint kill", (*soak).killMany},
	{"pause", (*soak).pauseOne},
	{"hang up", func(s *soak, _ context.Context) { s.anyHost().signal(syscall.SIGHUP) }},
	{"peer cut", (*soak).cutPeer},
	{"caller connections", (*soak).disturbCallers},
	{"server errors", func(s *soak, ctx context.Context) { s.failServer(ctx, backend.Faults{ErrorRate: 0.75}) }},
	{"server resets", func(s *soak, ctx context.Context) { s.failServer(ctx, backend.Faults{ResetRate: 0.5}) }},
	{"server hangs", func(s *soak, ctx context.Context) { s.failServer(ctx, backend.Faults{Hang: true}) }},
	{"server sheds", func(s *soak, ctx context.Context) { s.failServer(ctx, backend.Faults{ShedRate: 1}) }},
	{"server asks for rest", func(s *soak, ctx context.Context) {
		s.failServer(ctx, backend.Faults{ShedRate: 1, Rest: s.between(leastRest, mostRest)})
	}},
	{"late rejections", func(s *soak, ctx context.Context) {
		s.failServer(ctx, backend.Faults{ShedRate: 0.5, LateRate: 0.5})
	}},
	{"server leaves", (*soak).leaveServer},
	{"server names a limit", (*soak).limitServer},
	{"server slow", func(s *soak, ctx context.Context) { s.failServer(ctx, backend.Faults{SlowFactor: 8}) }},
	{"wrong answers", func(s *soak, ctx context.Context) { s.failServer(ctx, backend.Faults{WrongIDRate: 0.3}) }},
	{"cut answers", func(s *soak, ctx context.Context) { s.failServer(ctx, backend.Faults{CutRate: 0.3}) }},
	{"endless answers", func(s *soak, ctx context.Context) { s.failServer(ctx, backend.Faults{EndlessRate: 0.3}) }},
	{"server connections", (*soak).disturbServerLink},
	{"platform down", (*soak).platformDown},
	{"platform silent", (*soak).platformSilent},
	{"configuration", func(s *soak, _ context.Context) { s.change() }},
}

// injectFaults begins one fault after another until the time is over.
func (s *soak) injectFaults(ctx context.Context) {
	end := time.Now().Add(s.conf.Length)
	nextLine := time.Now().Add(progressEvery)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[s.rng.IntN(len(faults))]
		s.mu.Lock()
		s.faults[f.name]++
		s.mu.Unlock()
		f.begin(s, ctx)
		pause(ctx, s.between(leastPause, mostPause))
		if s.conf.Progress != nil && time.Now().After(nextLine) {
			nextLine = time.Now().Add(progressEvery)
			requests, served, refused := s.journal.counts()
			fmt.Fprintf(s.conf.Progress, "seed %d: %s left, %d requests, %d served, %d refused\n",
				s.conf.Seed, time.Until(end).Round(time.Second), requests, served, refused)
		}
	}
}

// endFaults waits until every fault has ended.
func (s *soak) endFaults() {
	s.ends.Wait()
	for _, server := range s.servers {
		server.SetFaults(backend.Faults{})
	}
}

func (s *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

func (s *soak) anyHost() *host { return s.hosts[s.rng.IntN(len(s.hosts))] }

// later runs the end of a fault after a random time.
func (s *soak) later(ctx context.Context, end func()) {
	length := s.between(leastFault, mostFault)
	s.ends.Go(func() {
		pause(ctx, length)
		end()
	})
}

func (s *soak) restartOne(ctx context.Context, kind string, sig syscall.Signal) {
	s.restartHost(ctx, s.anyHost(), kind, sig)
}

func (s *soak) restartHost(ctx context.Context, h *host, kind string, sig syscall.Signal) {
	if !h.claimRestart() {
		return // it is being restarted already
	}
	down := s.between(0, leastFault)
	ended := h.disturb(kind)
	s.ends.Go(func() {
		h.restart(ctx, sig, down)
		h.endRestart()
		ended()
	})
}

func (s *soak) killMany(ctx context.Context) {
	for _, h := range s.hosts {
		if s.rng.Float64() < killedAtOnce {
			s.restartHost(ctx, h, kindKill, syscall.SIGKILL)
		}
	}
}

func (s *soak) pauseOne(ctx context.Context) {
	h := s.anyHost()
	ended := h.disturb(kindPause)
	h.signal(syscall.SIGSTOP)
	s.later(ctx, func() {
		h.signal(syscall.SIGCONT)
		ended()
	})
}

func (s *soak) cutPeer(ctx context.Context) {
	h := s.anyHost()
	ended := h.disturb(kindPeerCut)
	in := s.rng.IntN(2) == 0
	out := !in || s.rng.IntN(2) == 0
	h.peerLink.Cut(in, out)
	s.later(ctx, func() {
		h.peerLink.Cut(false, false)
		ended()
	})
}

func (s *soak) disturbCallers(ctx context.Context) {
	h := s.anyHost()
	ended := h.disturb(kindCallerLink)
	switch s.rng.IntN(3) {
	case 0:
		h.callerLink.Reset()
	case 1:
		h.callerLink.Silence()
	default:
		h.callerLink.Delay(linkDelay)
	}
	s.later(ctx, func() {
		h.callerLink.Delay(0)
		ended()
	})
}

func (s *soak) failServer(ctx context.Context, f backend.Faults) {
	server := s.servers[s.rng.IntN(len(s.servers))]
	ended := s.disturbAll(kindServers)
	server.SetFaults(f)
	s.later(ctx, func() {
		server.SetFaults(backend.Faults{})
		ended()
	})
}

func (s *soak) disturbServerLink(ctx context.Context) {
	l := s.serverLinks[s.rng.IntN(len(s.serverLinks))]
	ended := s.disturbAll(kindServerLink)
	switch s.rng.IntN(4) {
	case 0:
		l.Reset()
	case 1:
		l.Silence()
	case 2:
		l.Delay(linkDelay)
	default:
		l.Cut(true, true)
	}
	s.later(ctx, func() {
		l.Delay(0)
		l.Cut(false, false)
		ended()
	})
}

func (s *soak) platformDown(ctx context.Context) {
	ended := s.disturbAll(kindPlatform)
	s.platform.SetDown(true)
	s.later(ctx, func() {
		s.platform.SetDown(false)
		ended()
	})
}

// platformSilent lets open connections to the platform stand still for good.
func (s *soak) platformSilent(ctx context.Context) {
	ended := s.disturbAll(kindPlatform)
	s.platformLink.Silence()
	s.later(ctx, ended)
}

// disturbAll notes a disturbance of all hosts.
func (s *soak) disturbAll(kind string) (end func()) {
	var ends []func()
	for _, h := range s.hosts {
		ends = append(ends, h.disturb(kind))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func (s *soak) change() {
	if err := s.publish(); err != nil && s.conf.Progress != nil {
		fmt.Fprintln(s.conf.Progress, "configuration not published:", err)
	}
}

package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Fate is what became of a server whose connection broke.
type Fate int

// Fates.
const (
	// FateUnknown: nothing answers, neither for nor against. The path may be cut.
	FateUnknown Fate = iota
	// FateAlive: the address takes connections.
	FateAlive
	// FateEnded: the machine says that nobody listens at the address.
	FateEnded
)

var fateNames = [...]string{"unknown", "alive", "ended"}

// String returns the name that logs have.
func (f Fate) String() string { return fateNames[f] }

const (
	// fateTimeout bounds a check. A machine whose server has ended refuses within a round
	// trip (1 to 8 ms between data centres); a longer silence is a path that is cut.
	fateTimeout = 100 * time.Millisecond
	// fateFor is how long the fate of an address holds: connections of many requests break
	// at one moment, and a server takes longer than that to start again.
	fateFor = 100 * time.Millisecond
	// maxFates bounds the addresses that are remembered, 100 bytes each. Beyond it, fates
	// whose time is over go first; if none is, the address is checked again when asked.
	maxFates = 1024
)

// Fates finds out whether servers have ended by connecting to them, once for all requests
// that lose a connection to an address at one moment.
type Fates struct {
	dial func(ctx context.Context, address string) error

	mu     sync.Mutex
	checks map[string]*fateCheck
}

type fateCheck struct {
	done  chan struct{}
	fate  Fate
	until time.Time
}

// NewFates returns checks that use the system's connections.
func NewFates() *Fates {
	dialer := &net.Dialer{Timeout: fateTimeout}
	return &Fates{
		checks: make(map[string]*fateCheck),
		dial: func(ctx context.Context, address string) error {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err == nil {
				conn.Close()
			}
			return err
		},
	}
}

// Of returns the fate of the server at an address (IP:port) to which a connection has just
// broken. It takes a round trip, fateTimeout at the most.
func (f *Fates) Of(address string) Fate {
	check, first := f.check(time.Now(), address)
	if first {
		check.fate = fateOf(f.dial(context.Background(), address))
		close(check.done)
	}
	<-check.done
	return check.fate
}

// check returns the check of an address, and whether the caller is to make it.
func (f *Fates) check(now time.Time, address string) (check *fateCheck, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held, ok := f.checks[address]; ok && now.Before(held.until) {
		return held, false
	}
	if len(f.checks) >= maxFates {
		f.forget(now)
	}
	check = &fateCheck{done: make(chan struct{}), until: now.Add(fateFor)}
	if len(f.checks) < maxFates {
		f.checks[address] = check
	}
	return check, true
}

func (f *Fates) forget(now time.Time) {
	for address, held := range f.checks {
		if !now.Before(held.until) {
			delete(f.checks, address)
		}
	}
}

func fateOf(err error) Fate {
	switch {
	case err == nil:
		return FateAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return FateEnded
	default:
		return FateUnknown
	}
}

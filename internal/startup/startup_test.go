package startup

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// Waiting requests are let in by deadline, spread over a bounded time, and within a small part of the time
// that is left to the most urgent one: if all were let in at one moment, hosts that know nothing of each
// other's requests would send them to the same servers.
func TestLetInByDeadline(t *testing.T) {
	h := &Hold{MaxBytes: 1 << 30}
	for i := range 50 {
		h.Enter(epoch, time.Duration(1000+(i*37)%50*100)*time.Millisecond, 0)
	}
	now := epoch.Add(400 * time.Millisecond)
	began, last, deadline := now, now, time.Time{}
	for n := range 50 {
		next, pause := h.Next(now, began)
		if next.Deadline.Before(deadline) {
			t.Fatalf("request %d has an earlier deadline than the one before", n)
		}
		deadline, last = next.Deadline, now
		if next.Deadline.Sub(epoch) == time.Second && now.Sub(began) > 75*time.Millisecond {
			t.Errorf("the most urgent request was let in after %s", now.Sub(began))
		}
		now = now.Add(pause)
	}
	if spread := last.Sub(began); spread < MaxSpread/4 || spread > MaxSpread {
		t.Errorf("requests were let in over %s", spread)
	}
	if next, _ := h.Next(now, began); next != nil || h.bytes != 0 {
		t.Errorf("%d bytes are held by no request", h.bytes)
	}
}

// Waiting requests are bounded in number and bytes: a host without a configuration must not run out of
// memory. One that leaves makes room for another.
func TestHoldIsBounded(t *testing.T) {
	h := &Hold{MaxBytes: 1 << 20}
	var held []*Held
	for r := h.Enter(epoch, time.Second, 1<<30); r != nil; r = h.Enter(epoch, time.Second, 1<<30) {
		held = append(held, r)
	}
	if len(held) != (1<<20)/(heldBytes+maxHeldBody) {
		t.Errorf("%d large requests wait", len(held))
	}
	h.Leave(held[3])
	h.Leave(held[3])
	if h.Enter(epoch, time.Second, -1) == nil || h.Enter(epoch, time.Second, -1) != nil {
		t.Error("a request that left does not make room for just one")
	}
	h = &Hold{MaxBytes: 1 << 40}
	for range MaxHeld {
		h.Enter(epoch, time.Second, 0)
	}
	if h.Enter(epoch, time.Second, 0) != nil {
		t.Errorf("more than %d requests wait", MaxHeld)
	}
}

// The host at the root serves a bounded number of hosts, every other host is sent to one that asked before
// it, and a host whose source does not answer is sent to the root: the source may have died.
func TestTree(t *testing.T) {
	tree := &Tree{}
	children := make(map[string]int)
	asked := make(map[string]bool)
	for i := range 200 {
		host := fmt.Sprint("h", i)
		source := tree.Source(epoch.Add(time.Duration(i)*time.Millisecond), "dc", host, 5)
		if source != "" && !asked[source] {
			t.Fatalf("%s is sent to %s, which has not asked", host, source)
		}
		children[source]++
		asked[host] = true
	}
	for source, n := range children {
		if n > 5 || source != "" && n > treeFanout {
			t.Errorf("%q serves %d hosts", source, n)
		}
	}
	if source := tree.Source(epoch.Add(150*time.Millisecond), "dc", "h150", 5); source == "" {
		t.Error("a repeated hello soon after the first is sent to the root")
	}
	if source := tree.Source(epoch.Add(time.Second), "dc", "h150", 5); source != "" {
		t.Errorf("h150 is sent to %s again a second later", source)
	}
	if source := tree.Source(epoch.Add(time.Minute), "dc", "h199", 5); source != "" {
		t.Errorf("the tree of an earlier start is kept: h199 is sent to %s", source)
	}
}

// Hellos are frequent while nobody answers a new host, and rare on a host that waits for long.
func TestHelloIntervals(t *testing.T) {
	if UntilHello(time.Second, false) != HelloInterval || UntilHello(time.Second, true) != HelloRepeat || UntilHello(5*time.Second, false) != HelloRepeat || UntilHello(time.Hour, true) != HelloIdle {
		t.Error("intervals of hellos do not grow")
	}
}

// Reads of the platform wait for those of the known hosts once another host is known, and few hosts stand
// in if these fail. Far fetches go by order.
func TestReadsAndFarFetches(t *testing.T) {
	planned := epoch.Add(200 * time.Millisecond)
	if at := ReadAt(planned, time.Time{}, time.Second); at != planned {
		t.Error("a host without contact does not read as planned")
	}
	if at := ReadAt(planned, epoch.Add(300*time.Millisecond), time.Second); at != epoch.Add(1300*time.Millisecond+ReadGrace) {
		t.Errorf("reads at %s", at.Sub(epoch))
	}
	if early, delay := StandIn(100, 200); !early || delay != 100 {
		t.Error("a low delay does not stand in")
	}
	if early, delay := StandIn(190, 200); early || delay < LateRead {
		t.Error("a high delay stands in")
	}
	if !MayFetchFar(1, 0) || MayFetchFar(2, FarTurn/2) || !MayFetchFar(2, FarTurn) || MayFetchFar(9, FarTurn) {
		t.Error("hosts do not take turns for fetches from other data centres")
	}
}

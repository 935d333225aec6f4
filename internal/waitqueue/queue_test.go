package waitqueue

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000_000, 0)

func newTestQueue(bounds Bounds) *Queue { return NewQueue(&Usage{Bounds: bounds}) }

// item returns an item that may wait for a second.
func item(id uint64, priority int, rank float64, deadline time.Duration) Item {
	return Item{ID: id, Priority: priority, Rank: rank, Deadline: start.Add(deadline), Until: start.Add(time.Second), Bytes: 10}
}

func always(*Item) bool { return true }

// A request that is less urgent, above its customer's share or has more time must not be served before
// one that is not.
func TestOrder(t *testing.T) {
	q := newTestQueue(Bounds{Requests: 10, Bytes: 100})
	for _, i := range []Item{item(1, 1, 0, 5*time.Second), item(2, 0, 2, time.Second), item(3, 0, 1, 9*time.Second), item(4, 0, 1, 8*time.Second), item(5, 1, 0, 5*time.Second)} {
		if refusal := q.Push(start, i); refusal != nil {
			t.Fatalf("item %d refused: %s", i.ID, refusal.Reason)
		}
	}
	if !q.Remove(start, 1) || q.Remove(start, 1) {
		t.Error("an item whose caller left is removed other than once")
	}
	for _, want := range []uint64{4, 3, 2, 5} {
		if got, ok := q.Pop(start, always); !ok || got.ID != want {
			t.Errorf("got item %d, want %d", got.ID, want)
		}
	}
	if q.usage.Requests() != 0 || q.usage.Bytes() != 0 {
		t.Errorf("%d requests and %d bytes held by an empty queue", q.usage.Requests(), q.usage.Bytes())
	}
}

// The memory of a host is bounded by the number of waiting requests and by their bytes.
func TestBounds(t *testing.T) {
	for name, bounds := range map[string]Bounds{"requests": {Requests: 2, Bytes: 1000}, "bytes": {Requests: 100, Bytes: 25}} {
		q := newTestQueue(bounds)
		for id := range uint64(2) {
			if q.Push(start, item(id, 0, 0, time.Second)) != nil {
				t.Fatalf("%s: item %d refused", name, id)
			}
		}
		if refusal := q.Push(start, item(3, 0, 0, time.Second)); refusal == nil || refusal.Reason != ReasonFull {
			t.Errorf("%s: got %v, want a refusal because the host is full", name, refusal)
		}
	}
}

// A request that cannot be served in its time is refused on arrival, not at its deadline, and one that
// turns out to be later.
func TestRefusalWhenTimeIsShort(t *testing.T) {
	q := newTestQueue(Bounds{Requests: 100, Bytes: 1000})
	for i := range 20 { // a slot every 500 ms
		q.RequestEnded(start.Add(time.Duration(i-20) * 500 * time.Millisecond))
	}
	accepted := uint64(0)
	var refusal *Refusal
	for ; refusal == nil && accepted < 10; accepted++ {
		refusal = q.Push(start, item(accepted, 0, 0, time.Second))
	}
	if refusal == nil || refusal.Reason != ReasonNoTime || accepted < 2 || accepted > 4 {
		t.Fatalf("%d items accepted for a second with a slot every 500 ms, then %v", accepted, refusal)
	}
	if expired := q.Expire(start.Add(900 * time.Millisecond)); len(expired) == 0 || expired[0].Reason != ReasonNoTime {
		t.Errorf("100 ms before the end: %v, want the last ones refused", expired)
	}
	for _, r := range q.Expire(start.Add(time.Second)) {
		if r.Reason != ReasonExpired {
			t.Errorf("item %d is refused as %s at the end of its time", r.Item.ID, r.Reason)
		}
	}
	if q.Len() != 0 {
		t.Errorf("%d items wait after their time", q.Len())
	}
}

// Callers that were told the same time would return together. The more urgent return first.
func TestRetryAfterIsSpread(t *testing.T) {
	q := newTestQueue(Bounds{})
	for i := range 20 {
		q.RequestEnded(start.Add(time.Duration(i-20) * 500 * time.Millisecond))
	}
	after := func(priority int) time.Duration { return q.Push(start, item(1, priority, 0, time.Second)).RetryAfter }
	first, second := after(1), after(1)
	if first <= 0 || second <= first {
		t.Errorf("told to return after %s, then %s", first, second)
	}
	if urgent := after(0); urgent >= second {
		t.Errorf("the more urgent caller is told to return after %s, the others after %s", urgent, second)
	}
	for range 100 {
		if got := after(1); got > maxRetryAfter {
			t.Fatalf("told to return after %s", got)
		}
	}
}

package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCheck measures the cost per request while contents are in quarantine, without the
// digest (see package content).
func BenchmarkCheck(b *testing.B) {
	all := make([]*Quarantine, 100)
	for i := range all {
		all[i] = &Quarantine{Content: contentID(fmt.Sprint(i))}
	}
	view := NewView(all)
	id := contentID("another")
	b.ReportAllocs()
	for b.Loop() {
		view.Get(id)
	}
}

// BenchmarkServed measures the cost per answer on a host that holds evidence against 4,096 contents.
func BenchmarkServed(b *testing.B) {
	table := NewTable("h1")
	now := time.Unix(1000, 0)
	for i := range maxSuspects {
		table.RecordCrash(now, contentID(fmt.Sprint(i)), Crash{Server: "s1", At: now})
	}
	id := contentID("another")
	b.ReportAllocs()
	for b.Loop() {
		table.RecordAnswer(now, id)
	}
}

package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/explain"
	"github.com/pearshelf/pearshelf/internal/logging"
)

// outLine and inLine are lines of a host about a server, at a second of the log.
func outLine(host string, second, idle float64, server, why string) string {
	return fmt.Sprintf("%s I0406 12:52:%09.6f   14785 uselog.go:70] %q service=\"checkout\" backend=%q idle=\"%gs\" why=%q belief=0.7 troubled=true limited=false hosts=3 missed=1\n", host, second, logging.OutOfUse, server, idle, why)
}

func inLine(host string, second, idle float64, server string) string {
	return fmt.Sprintf("%s I0406 12:52:%09.6f   14785 uselog.go:60] %q service=\"checkout\" backend=%q idle=\"%gs\" missed=0\n", host, second, logging.InUse, server, idle)
}

func unusedOf(t *testing.T, text string) (*explain.Logs, explain.Unused) {
	t.Helper()
	l := &explain.Logs{}
	if err := l.Read(strings.NewReader(text), "-"); err != nil {
		t.Fatal(err)
	}
	return l, l.Unused("", 2*time.Second, time.Time{})
}

// Three hosts use a server. It is out of use from the last request that any of them knew of, if
// most of them say so, until the first knows of another one.
func TestServersOutOfUse(t *testing.T) {
	_, unused := unusedOf(t, outLine("h1", 10, 2, "b1", "belief")+
		outLine("h2", 10.5, 2.1, "b1", "no-objection")+
		outLine("h3", 11, 2.4, "b1", "belief")+
		inLine("h2", 12, 0.1, "b1")+
		inLine("h1", 12.2, 0.2, "b1")+
		inLine("h3", 12.3, 0.1, "b1"))
	if len(unused.Spans) != 1 || unused.Missed != 3 {
		t.Fatalf("spans %v, %d lines missed", unused.Spans, unused.Missed)
	}
	span := unused.Spans[0]
	if got := span.From.Format("05.000"); got != "08.600" {
		t.Errorf("from %s", got)
	}
	if got := span.Length(); got != "3.3s" {
		t.Errorf("for %s", got)
	}
	if span.Hosts != 3 || span.Sharing != 3 {
		t.Errorf("%d of %d hosts", span.Hosts, span.Sharing)
	}
	if got, want := span.Why(), "belief, many unserved (2, belief 0.70); no-objection, many unserved (1, belief 0.70)"; got != want {
		t.Errorf("why: %q, want %q", got, want)
	}
}

// A host that is cut off from the others does not hear of their requests.
func TestServerThatOneHostAloneHasOutOfUse(t *testing.T) {
	_, unused := unusedOf(t, outLine("h1", 10, 2, "b1", "belief")+inLine("h1", 15, 0.1, "b1"))
	if len(unused.Spans) != 0 {
		t.Errorf("spans %v", unused.Spans)
	}
}

// Only what holds at a moment is asked for; a server of which nothing more is heard stays out.
func TestServersOutOfUseAtAMoment(t *testing.T) {
	logs, unused := unusedOf(t, outLine("h1", 10, 2, "b1", "belief")+
		outLine("h2", 10, 2, "b1", "belief")+
		inLine("h1", 11, 0.1, "b1")+
		inLine("h2", 11, 0.1, "b1")+
		outLine("h1", 20, 2, "b2", "path")+
		outLine("h2", 20, 2, "b2", "path"))
	if len(unused.Spans) != 2 || unused.Spans[1].Length() != "still" {
		t.Fatalf("spans %v", unused.Spans)
	}
	for text, want := range map[string]int{"12:52:09.500": 1, "12:52:17": 0, "12:52:30": 1} {
		at, err := logs.TimeOfDay(text)
		if err != nil {
			t.Fatal(err)
		}
		if got := len(logs.Unused("checkout", 2*time.Second, at).Spans); got != want {
			t.Errorf("at %s: %d servers out of use, want %d", text, got, want)
		}
	}
	if got := len(logs.Unused("seatmap", 0, time.Time{}).Spans); got != 0 {
		t.Errorf("another service: %d servers out of use", got)
	}
	if _, err := logs.TimeOfDay("noon"); err == nil {
		t.Error("a time of day that is none was taken")
	}
}

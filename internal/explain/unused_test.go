package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/explain"
	"github.com/pearshelf/pearshelf/internal/logging"
)

// outLine and inLine format the lines with which a host reports a server as out of use and in use again.
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

// Three hosts use a server. If most of them report it as out of use, the span starts with the last
// request that any of them knew of and ends when the first host learns of another request.
func TestServersOutOfUse(t *testing.T) {
	_, unused := unusedOf(t, outLine("h1", 10, 2, "b1", "belief")+
		outLine("h2", 10.5, 2.1, "b1", "no-objection")+
		outLine("h3", 11, 2.4, "b1", "belief")+
		inLine("h2", 12, 0.1, "b1")+
		inLine("h1", 12.2, 0.2, "b1")+
		inLine("h3", 12.3, 0.1, "b1"))
	if len(unused.Spans) != 1 || unused.MissedLines != 3 {
		t.Fatalf("spans %v, %d lines missed", unused.Spans, unused.MissedLines)
	}
	span := unused.Spans[0]
	if got := span.From.Format("05.000"); got != "08.600" {
		t.Errorf("span starts at second %s, want 08.600", got)
	}
	if got := span.Duration(); got != "3.3s" {
		t.Errorf("span lasts %s, want 3.3s", got)
	}
	if span.Hosts != 3 || span.TotalHosts != 3 {
		t.Errorf("server out of use on %d of %d hosts, want 3 of 3", span.Hosts, span.TotalHosts)
	}
	if got, want := span.Reasons(), "belief, many unserved (2, belief 0.70); no-objection, many unserved (1, belief 0.70)"; got != want {
		t.Errorf("why: %q, want %q", got, want)
	}
}

// A host that is partitioned from the others does not learn of their requests and must not cause a span
// alone.
func TestServerOutOfUseOnSingleHost(t *testing.T) {
	_, unused := unusedOf(t, outLine("h1", 10, 2, "b1", "belief")+inLine("h1", 15, 0.1, "b1"))
	if len(unused.Spans) != 0 {
		t.Errorf("spans %v", unused.Spans)
	}
}

// Only spans that contain the given time are returned. A server without further lines remains out of
// use.
func TestServersOutOfUseAtGivenTime(t *testing.T) {
	logs, unused := unusedOf(t, outLine("h1", 10, 2, "b1", "belief")+
		outLine("h2", 10, 2, "b1", "belief")+
		inLine("h1", 11, 0.1, "b1")+
		inLine("h2", 11, 0.1, "b1")+
		outLine("h1", 20, 2, "b2", "path")+
		outLine("h2", 20, 2, "b2", "path"))
	if len(unused.Spans) != 2 || unused.Spans[1].Duration() != "still" {
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
		t.Error("an invalid time of day was accepted")
	}
}

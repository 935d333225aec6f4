package event_test

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
)

var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z-]+) \|`)

// Guards against events that are defined but not documented, and the reverse.
func TestDocumentedEventsMatchCode(t *testing.T) {
	raw, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	for _, m := range tableRow.FindAllStringSubmatch(string(raw), -1) {
		documented[m[1]+" "+m[2]] = true
		number, err := strconv.Atoi(m[1])
		if err != nil || event.Number(number).String() != m[2] {
			t.Errorf("event %s %s is documented but not defined", m[1], m[2])
		}
	}
	for _, n := range event.Numbers() {
		if !documented[fmt.Sprintf("%d %s", n, n)] {
			t.Errorf("event %d %s is not documented", n, n)
		}
	}
}

func TestRingKeepsNewestEventsInOrder(t *testing.T) {
	log := event.NewLog("h", &hlc.Clock{}, 3)
	for _, detail := range []string{"a", "b", "c", "d", "e"} {
		log.Record(event.HostStarted, "", "", detail)
	}
	got := ""
	for _, e := range log.Since(time.Unix(0, 0)) {
		got += e.Detail
	}
	if got != "cde" {
		t.Fatalf("events in the ring: %q, want cde", got)
	}
}

package event_test

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

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

// Guards against a caller that fills the memory of hosts, or makes their time line unreadable, with request IDs that it
// chooses.
func TestDetailsAreLimited(t *testing.T) {
	log := event.NewLog("h", &hlc.Clock{}, 3)
	log.Record(event.RequestDuplicate, "s", "", "id \xff"+strings.Repeat("x", 60<<10))
	detail := log.Since(time.Unix(0, 0))[0].Detail
	if len(detail) > 2<<10 || !utf8.ValidString(detail) {
		t.Errorf("the detail has %d bytes, valid UTF-8: %t", len(detail), utf8.ValidString(detail))
	}
	if !strings.HasPrefix(detail, "id ") {
		t.Errorf("the detail begins with %.10q", detail)
	}
}

package trouble

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

var start = time.Unix(1_700_000_000, 0)

// tell lets segments of 8 hosts tell what they saw, and reports whether a home finds trouble.
func tell(h *Home, now time.Time, segments, served, unserved, hosts int) (found bool) {
	for i := range segments {
		troubled := h.Take(now, fmt.Sprint("h", i), []*peerpb.ServiceOutcomes{{Service: "post", Served: uint32(served), Unserved: uint32(unserved), Hosts: 8}}, hosts)
		found = found || len(troubled) > 0
	}
	return found
}

// Of 1,419 requests in 2 s users saw 176 unserved and hosts 101, spread over 17 segments of which
// each had too few to tell it from chance. Eleven of 29 servers stayed out of use. The sum over
// the segments is trouble: 6 in 42 requests of a second no segment would act on by itself.
func TestTroubleIsSeenInTheSum(t *testing.T) {
	const segments, hosts = 17, 136
	if !tell(NewHome(), start, segments, 39, 3, hosts) {
		t.Error("7 in 100 unserved over all hosts are no trouble")
	}
	if tell(NewHome(), start, segments, 41, 1, hosts) {
		t.Error("2 in 100 are")
	}
}

// Segments that tell nothing served their requests: few that tell are not taken for all.
func TestSilentSegmentsServe(t *testing.T) {
	if tell(NewHome(), start, 3, 39, 3, 136) {
		t.Error("three of 17 segments make trouble of the whole")
	}
	if !tell(NewHome(), start, 3, 39, 4, 24) {
		t.Error("three of three do not")
	}
}

// Reports count for a short time, and all hosts are told at most so often.
func TestReportsGrowOld(t *testing.T) {
	h := NewHome()
	if tell(h, start, 8, 39, 3, 136) || tell(h, start.Add(heardFor+time.Millisecond), 8, 39, 3, 136) {
		t.Error("reports of different times add up")
	}
	h = NewHome()
	told := 0
	for now := start; now.Sub(start) < 2*time.Second; now = now.Add(50 * time.Millisecond) {
		if tell(h, now, 17, 30, 12, 136) {
			told++
		}
	}
	if most := int(2*time.Second/tellEvery) + 1; told == 0 || told > most {
		t.Errorf("told %d times in 2 s, %d at most", told, most)
	}
	h.Take(start.Add(time.Minute), "h0", nil, 136)
	if len(h.services) > 0 {
		t.Error("services of which nothing is told are kept")
	}
}

func TestHomeOfNoHosts(t *testing.T) {
	if got := HomeOf("post", nil); got != "" {
		t.Errorf("home %q", got)
	}
	nodes := []rendezvous.Node{rendezvous.NewNode("h1", ""), rendezvous.NewNode("h2", "")}
	if got := HomeOf("post", nodes); got != "h1" && got != "h2" {
		t.Errorf("home %q", got)
	}
}

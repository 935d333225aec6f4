package handover

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

var start = time.Unix(1_700_000_000, 0)

func exchange() *Exchange { return New(start, rand.New(rand.NewPCG(1, 2))) }

// A host whose peers do not answer, or are all young, asks others up to MaxRounds and then starts
// without: it must not wait for ever.
func TestNoAnswerEndsTheExchange(t *testing.T) {
	for label, answer := range map[string]*peerpb.HandoverResponse{"none": nil, "young": {Young: true}} {
		e, asked := exchange(), make(map[string]bool)
		hosts := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
		for range 10 {
			for _, host := range e.Ask(start, hosts) {
				if asked[host] {
					t.Errorf("%s: %s is asked twice", label, host)
				}
				asked[host] = true
			}
			if len(e.Ask(start, hosts)) > 0 {
				t.Errorf("%s: more are asked while answers are due", label)
			}
			for range hostsAsked {
				if e.Answered(answer) {
					t.Errorf("%s: the answer is used", label)
				}
			}
		}
		if !e.Done(start) || len(asked) != MaxRounds*hostsAsked {
			t.Errorf("%s: done %t after %d hosts", label, e.Done(start), len(asked))
		}
	}
}

// A host that learns of no other stops looking after SearchTime.
func TestNoHostsEndTheExchange(t *testing.T) {
	e := exchange()
	if e.Ask(start, nil) != nil || e.Done(start.Add(SearchTime-1)) || !e.Done(start.Add(SearchTime)) {
		t.Error("does not stop looking when it should")
	}
}

// Two answers of hosts that are not young suffice.
func TestTwoAnswersSuffice(t *testing.T) {
	e := exchange()
	if got := e.Ask(start, []string{"a", "b", "c", "d"}); len(got) != hostsAsked {
		t.Fatalf("asked %v", got)
	}
	if !e.Answered(&peerpb.HandoverResponse{}) || e.Done(start) || !e.Answered(&peerpb.HandoverResponse{}) || !e.Done(start) {
		t.Error("not done after two answers")
	}
}

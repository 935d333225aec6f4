package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// crashThree crashes three servers that run a content, each observed by a different host.
func crashThree(f *fleet, name string) {
	for i := range 3 {
		f.serverCrashed(fmt.Sprintf("h%03d", i), contentID(name), fmt.Sprint("s", i))
		f.advance(100 * time.Millisecond)
	}
}

// uninvolvedHost returns a host that is neither a home of a content nor observed its crashes.
func uninvolvedHost(f *fleet, name string) string {
	homes := f.hosts["h000"].table.homesOf(contentID(name))
	for i := 3; ; i++ {
		host := fmt.Sprintf("h%03d", i)
		if !slices.Contains(homes, host) {
			return host
		}
	}
}

// Three servers crash while they run a content. In between, a host that has observed none of the
// crashes passes on an answer to it. The answer shows that the content is harmless.
func TestAnswerAtAnyHostClears(t *testing.T) {
	f := newFleet(t, 20)
	good := contentID("good")
	other := uninvolvedHost(f, "good")
	f.serverCrashed("h000", good, "s0")
	f.advance(100 * time.Millisecond)
	f.answered(other, good)
	f.advance(100 * time.Millisecond)
	f.serverCrashed("h001", good, "s1")
	f.serverCrashed("h002", good, "s2")
	f.advance(time.Second)
	if n := f.refusingHosts(good); n > 0 {
		t.Errorf("%d hosts refuse a content that was answered after the first of three crashes", n)
	}
}

// An answer from before the crashes does not clear a content, which may have begun to crash servers
// since. One host is granted a single trial at once, and an answer to it clears the content.
func TestContentAnsweredBeforeGetsEarlyTrial(t *testing.T) {
	f := newFleet(t, 20)
	good := contentID("good")
	other := uninvolvedHost(f, "good")
	f.answered(other, good)
	f.advance(time.Second)
	crashThree(f, "good")
	if n := f.refusingHosts(good); n != len(f.hosts) {
		t.Fatalf("%d of %d hosts refuse the content", n, len(f.hosts))
	}
	tried := 0
	for range 3 { // requests a trial, uses it, gets no further one
		tried += len(f.hostsAllowedTrial(good))
		f.deliver()
		f.advance(time.Second)
	}
	if tried != 1 {
		t.Fatalf("%d trials during the hold, want 1", tried)
	}
	f.answered(other, good)
	f.advance(time.Second)
	if n := f.refusingHosts(good); n > 0 {
		t.Errorf("%d hosts refuse the content after it was answered", n)
	}
}

// A content that was never answered gets no trial during its hold.
func TestContentWithoutAnswerGetsNoEarlyTrial(t *testing.T) {
	f := newFleet(t, 20)
	crashThree(f, "bad")
	for range 20 {
		f.advance(time.Second)
		if by := f.hostsAllowedTrial(contentID("bad")); len(by) > 0 {
			t.Fatalf("trial allowed at %v", by)
		}
		f.deliver()
	}
}

// The answer history is bounded in size, and its entries expire.
func TestAnswersAreBounded(t *testing.T) {
	a := newAnswerHistory()
	now := time.Unix(1000, 0)
	for i := range 5 * maxAnswersPerGeneration {
		a.record(now, contentID(fmt.Sprint(i)))
	}
	if n := len(a.current) + len(a.previous); n > 2*maxAnswersPerGeneration {
		t.Errorf("%d contents in the answer history", n)
	}
	kept := contentID("kept")
	a.record(now, kept)
	for _, step := range []time.Duration{answerRetention / 2, answerRetention} {
		a.record(now.Add(step), contentID("other"))
		if !a.answeredRecently(now.Add(step), kept) {
			t.Errorf("answer forgotten after %s", step)
		}
	}
	if a.answeredRecently(now.Add(2*answerRetention+time.Second), kept) {
		t.Error("answer does not expire on a host that passes on no further answers")
	}
	a.record(now.Add(2*answerRetention), contentID("other"))
	a.record(now.Add(3*answerRetention+time.Second), contentID("other"))
	if !a.lastAnswer(kept).IsZero() {
		t.Error("answer is not dropped by rotation")
	}
}

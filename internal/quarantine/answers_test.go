package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// crashThree lets three servers end under a content, each seen by another host.
func crashThree(f *fleet, name string) {
	for i := range 3 {
		f.serverCrashed(fmt.Sprintf("h%03d", i), contentID(name), fmt.Sprint("s", i))
		f.advance(100 * time.Millisecond)
	}
}

// uninvolvedHost is one that is neither a home of a content nor one of those that saw it end servers.
func uninvolvedHost(f *fleet, name string) string {
	homes := f.hosts["h000"].table.homesOf(contentID(name))
	for i := 3; ; i++ {
		host := fmt.Sprintf("h%03d", i)
		if !slices.Contains(homes, host) {
			return host
		}
	}
}

// Three servers end while they have a content, and in between another host, which has not seen
// any of them end, passes on an answer to it. The content does not end servers.
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
		t.Errorf("%d hosts refuse a content that was answered after the first of three ends", n)
	}
}

// An answer from before the ends does not clear a content: it may have begun to end servers since.
// One host tries it once, at once; an answer then clears it.
func TestContentAnsweredBeforeGetsEarlyTrial(t *testing.T) {
	f := newFleet(t, 20)
	good := contentID("good")
	other := uninvolvedHost(f, "good")
	f.answered(other, good)
	f.advance(time.Second)
	crashThree(f, "good")
	if n := f.refusingHosts(good); n != len(f.hosts) {
		t.Fatalf("%d of %d hosts refuse it", n, len(f.hosts))
	}
	tried := 0
	for range 3 { // asks, is granted it, and no more
		tried += len(f.hostsAllowedTrial(good))
		f.deliver()
		f.advance(time.Second)
	}
	if tried != 1 {
		t.Fatalf("tried %d times within its hold", tried)
	}
	f.answered(other, good)
	f.advance(time.Second)
	if n := f.refusingHosts(good); n > 0 {
		t.Errorf("%d hosts refuse it after it was answered", n)
	}
}

// A content that was never answered is not tried within its hold.
func TestContentWithoutAnswerGetsNoEarlyTrial(t *testing.T) {
	f := newFleet(t, 20)
	crashThree(f, "bad")
	for range 20 {
		f.advance(time.Second)
		if by := f.hostsAllowedTrial(contentID("bad")); len(by) > 0 {
			t.Fatalf("tried by %v", by)
		}
		f.deliver()
	}
}

// What is remembered of answers is bounded in number, and forgotten.
func TestAnswersAreBounded(t *testing.T) {
	a := newAnswerHistory()
	now := time.Unix(1000, 0)
	for i := range 5 * maxAnswersPerGeneration {
		a.record(now, contentID(fmt.Sprint(i)))
	}
	if n := len(a.current) + len(a.previous); n > 2*maxAnswersPerGeneration {
		t.Errorf("%d contents remembered", n)
	}
	kept := contentID("kept")
	a.record(now, kept)
	for _, step := range []time.Duration{answerRetention / 2, answerRetention} {
		a.record(now.Add(step), contentID("other"))
		if !a.answeredRecently(now.Add(step), kept) {
			t.Errorf("forgotten after %s", step)
		}
	}
	if a.answeredRecently(now.Add(2*answerRetention+time.Second), kept) {
		t.Error("remembered for ever by a host that answers nothing more")
	}
	a.record(now.Add(2*answerRetention), contentID("other"))
	a.record(now.Add(3*answerRetention+time.Second), contentID("other"))
	if !a.lastAnswer(kept).IsZero() {
		t.Error("held for ever")
	}
}

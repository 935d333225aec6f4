package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// endThree lets three servers end under a content, each seen by another host.
func endThree(f *fleet, name string) {
	for i := range 3 {
		f.ended(fmt.Sprintf("h%03d", i), idOf(name), fmt.Sprint("s", i))
		f.pass(100 * time.Millisecond)
	}
}

// otherHost is one that is neither a home of a content nor one of those that saw it end servers.
func otherHost(f *fleet, name string) string {
	homes := f.hosts["h000"].table.homesOf(idOf(name))
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
	good := idOf("good")
	other := otherHost(f, "good")
	f.ended("h000", good, "s0")
	f.pass(100 * time.Millisecond)
	f.served(other, good)
	f.pass(100 * time.Millisecond)
	f.ended("h001", good, "s1")
	f.ended("h002", good, "s2")
	f.pass(time.Second)
	if n := f.refusedBy(good); n > 0 {
		t.Errorf("%d hosts refuse a content that was answered after the first of three ends", n)
	}
}

// An answer from before the ends does not clear a content: it may have begun to end servers since.
// One host tries it once, at once; an answer then clears it.
func TestContentAnsweredBeforeIsTriedEarly(t *testing.T) {
	f := newFleet(t, 20)
	good := idOf("good")
	other := otherHost(f, "good")
	f.served(other, good)
	f.pass(time.Second)
	endThree(f, "good")
	if n := f.refusedBy(good); n != len(f.hosts) {
		t.Fatalf("%d of %d hosts refuse it", n, len(f.hosts))
	}
	tried := 0
	for range 3 { // asks, is granted it, and no more
		tried += len(f.triedBy(good))
		f.deliver()
		f.pass(time.Second)
	}
	if tried != 1 {
		t.Fatalf("tried %d times within its hold", tried)
	}
	f.served(other, good)
	f.pass(time.Second)
	if n := f.refusedBy(good); n > 0 {
		t.Errorf("%d hosts refuse it after it was answered", n)
	}
}

// A content that was never answered is not tried within its hold.
func TestContentWithoutAnswerIsNotTriedEarly(t *testing.T) {
	f := newFleet(t, 20)
	endThree(f, "bad")
	for range 20 {
		f.pass(time.Second)
		if by := f.triedBy(idOf("bad")); len(by) > 0 {
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
		a.record(now, idOf(fmt.Sprint(i)))
	}
	if n := len(a.current) + len(a.previous); n > 2*maxAnswersPerGeneration {
		t.Errorf("%d contents remembered", n)
	}
	kept := idOf("kept")
	a.record(now, kept)
	for _, step := range []time.Duration{answerRetention / 2, answerRetention} {
		a.record(now.Add(step), idOf("other"))
		if !a.answeredRecently(now.Add(step), kept) {
			t.Errorf("forgotten after %s", step)
		}
	}
	if a.answeredRecently(now.Add(2*answerRetention+time.Second), kept) {
		t.Error("remembered for ever by a host that answers nothing more")
	}
	a.record(now.Add(2*answerRetention), idOf("other"))
	a.record(now.Add(3*answerRetention+time.Second), idOf("other"))
	if !a.lastAnswer(kept).IsZero() {
		t.Error("held for ever")
	}
}

package crosszone

import (
	"fmt"
	"testing"
)

// Bytes sent to a host before its data centre is known are counted once it is, and only if it is another.
func TestResolve(t *testing.T) {
	var c Counter
	for _, address := range []string{"far", "near", "unknown"} {
		c.AddPending(address, "hello", 10)
		c.AddPending(address, "hello", 5)
	}
	c.Resolve(func(address string) (far, known bool) { return address == "far", address != "unknown" })
	c.Resolve(func(address string) (far, known bool) { return true, true })
	if got := c.Totals()["hello"]; got != 30 {
		t.Errorf("%d bytes are counted, want 15 to the far host and 15 to the one that became known as far", got)
	}
}

// A log line has what was added since the last one, so that the sum over lines is the total, and nothing
// of kinds that did not grow.
func TestDifference(t *testing.T) {
	var c Counter
	c.Add(Document, 100)
	c.Add("quota", 7)
	first := c.Totals()
	c.Add(Document, 20)
	c.Add(Relay, 0)
	if got := fmt.Sprint(difference(nil, first)); got != "[document 100 quota 7]" {
		t.Errorf("first line %s", got)
	}
	if got := fmt.Sprint(difference(first, c.Totals())); got != "[document 20]" {
		t.Errorf("second line %s", got)
	}
	if fields := difference(c.Totals(), c.Totals()); len(fields) > 0 {
		t.Errorf("fields without any bytes: %v", fields)
	}
}

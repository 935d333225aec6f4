package content

import (
	"strings"
	"testing"
)

func TestIDsDifferByContent(t *testing.T) {
	base := Request{Method: "GET", Host: "a.example", Target: "/x?y=1", Customer: "acme", Credentials: []string{"k1"}, Body: []byte("b")}
	others := map[string]Request{}
	for name, change := range map[string]func(*Request){
		"method":   func(r *Request) { r.Method = "POST" },
		"host":     func(r *Request) { r.Host = "b.example" },
		"query":    func(r *Request) { r.Target = "/x?y=2" },
		"customer": func(r *Request) { r.Customer = "other" },
		"key":      func(r *Request) { r.Credentials = []string{"k2"} },
		"keys":     func(r *Request) { r.Credentials = []string{"k", "1"} },
		"body":     func(r *Request) { r.Body = []byte("c") },
		"streamed": func(r *Request) { r.Streamed = true },
		"bounds":   func(r *Request) { r.Target, r.Customer = "/x?y=1a", "cme" },
	} {
		r := base
		change(&r)
		others[name] = r
	}
	again := base
	again.Body = []byte(string(base.Body))
	if NewID(base) != NewID(again) {
		t.Error("equal requests have different IDs")
	}
	for name, r := range others {
		if NewID(r) == NewID(base) {
			t.Errorf("requests that differ by %s have the same ID", name)
		}
	}
}

func TestIDRoundTrip(t *testing.T) {
	id := NewID(Request{Target: "/x"})
	back, err := Parse(id.String())
	if err != nil || back != id {
		t.Errorf("Parse: %v, %v", back, err)
	}
	if again, ok := FromBytes(id[:]); !ok || again != id {
		t.Error("FromBytes does not return the original ID")
	}
	for _, bad := range []string{"", "x", id.String() + "a", strings.Repeat("!", 32)} {
		if _, err := Parse(bad); err == nil {
			t.Errorf("Parse(%q) succeeded, want an error", bad)
		}
	}
}

func BenchmarkOf(b *testing.B) {
	for _, size := range []struct {
		name  string
		bytes int
	}{{"0B", 0}, {"4KiB", 4 << 10}, {"64KiB", 64 << 10}} {
		r := Request{Method: "POST", Host: "shop.example", Target: "/orders/4711?page=2", Customer: "acme", Body: make([]byte, size.bytes)}
		b.Run(size.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewID(r)
			}
		})
	}
}

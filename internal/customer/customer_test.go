package customer_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/pearshelf/pearshelf/internal/customer"
)

func table(n int) *customer.Table {
	entries := make([]customer.Entry, n)
	for i := range entries {
		entries[i].Name = fmt.Sprint("customer-", i)
		for k := range 2 {
			entries[i].Keys = append(entries[i].Keys, customer.DigestOf(key(i, k)))
		}
	}
	return customer.Build(entries)
}

func key(i, k int) string { return fmt.Sprintf("ta828m82thhkmgjq%06d-%d", i, k) }

func TestHolderOfKey(t *testing.T) {
	customers := table(100)
	for i := range 100 {
		for k := range 2 {
			if c := customers.ByKey(key(i, k)); c == nil || c.Name != fmt.Sprint("customer-", i) {
				t.Fatalf("key %d of customer %d is held by %v", k, i, c)
			}
		}
	}
	for _, unknown := range []string{"", "x", key(100, 0), key(1, 1) + " "} {
		if c := customers.ByKey(unknown); c != nil {
			t.Errorf("unknown key %q is held by %s", unknown, c.Name)
		}
	}
}

func TestParseDigestRoundTrip(t *testing.T) {
	d := customer.DigestOf("some-key")
	if parsed, err := customer.ParseDigest(d.String()); err != nil || parsed != d {
		t.Errorf("ParseDigest returned %v, %v", parsed, err)
	}
	for _, bad := range []string{"", "some-key", d.String() + "A", d.String()[1:], d.String() + "=="} {
		if _, err := customer.ParseDigest(bad); err == nil {
			t.Errorf("ParseDigest accepted %q", bad)
		}
	}
}

func TestKeyOf(t *testing.T) {
	cases := []struct {
		values []string
		key    string
		ok     bool
	}{
		{[]string{"Bearer abc"}, "abc", true},
		{[]string{"bearer  abc"}, "abc", true},
		{nil, "", false},
		{[]string{""}, "", false},
		{[]string{"abc"}, "", false},
		{[]string{"Basic abc"}, "", false},
		{[]string{"Bearer"}, "", false},
		{[]string{"Bearer "}, "", false},
		{[]string{"Bearer abc def"}, "", false},
		{[]string{"Bearer abc, Bearer def"}, "", false},
		{[]string{"Bearer abc", "Bearer abc"}, "", false},
	}
	for _, c := range cases {
		key, ok := customer.BearerKey(http.Header{"Authorization": c.values})
		if ok != c.ok || ok && key != c.key {
			t.Errorf("%q: key %q, %v", c.values, key, ok)
		}
	}
}

// BenchmarkHolder measures a look-up among 100,000 customers of two keys each.
func BenchmarkHolder(b *testing.B) {
	customers := table(100_000)
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = key(i*97%100_000, i%2)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if customers.ByKey(keys[i%len(keys)]) == nil {
			b.Fatal("unknown")
		}
	}
}

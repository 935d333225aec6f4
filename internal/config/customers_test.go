package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
)

func TestCustomersAreChecked(t *testing.T) {
	first, second := customer.DigestOf("first"), customer.DigestOf("second")
	cases := []struct {
		customers string
		fault     string // empty for none
	}{
		{fmt.Sprintf("[{name: a, key_digests: [%s, %s]}, {name: b, per_second: 3, burst: 2, priority: 0}]", first, second), ""},
		{fmt.Sprintf("[{name: a, key_digests: [%s]}, {name: b, key_digests: [%s]}]", first, first), "key is already assigned to customer"},
		{"[{name: a}, {name: a}]", "duplicate value"},
		{"[{name: a, key_digests: [a-plain-key]}]", "invalid key digest"},
		{"[{name: a, per_second: -1}]", "must be a finite, non-negative number"},
		{"[{name: a, burst: .inf}]", "must be a finite, non-negative number"},
		{"[{name: a, keys: [a-plain-key]}]", "cannot parse document"},
	}
	for _, c := range cases {
		doc, err := config.ParseDocument([]byte("services: []\ncustomers: " + c.customers))
		switch {
		case c.fault == "" && (err != nil || len(doc.Customers[0].Entry().Keys) != 2):
			t.Errorf("%s: %v", c.customers, err)
		case c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)):
			t.Errorf("%s: %v, want %q", c.customers, err, c.fault)
		case err != nil && strings.Contains(err.Error(), "a-plain-key") && c.fault != "cannot parse document":
			t.Errorf("error message contains the key: %v", err)
		}
	}
}

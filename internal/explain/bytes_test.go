package explain

import (
	"fmt"
	"strings"
	"testing"
)

// The bytes between data centres are summed over the lines of all hosts.
func TestBytes(t *testing.T) {
	logs := &Logs{}
	text := `I0630 16:09:56.100000   11 crosszone.go:80] "bytes to other data centres" from="a1" document=100 quota=7
I0630 16:10:06.100000   11 crosszone.go:80] "bytes to other data centres" from="a1" quota=5
`
	if err := logs.Read(strings.NewReader(text), "h1"); err != nil {
		t.Fatal(err)
	}
	if err := logs.Read(strings.NewReader(text), "h2"); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(logs.Bytes()); got != "[{document 200 2} {quota 24 2}]" {
		t.Errorf("sums are %s", got)
	}
}

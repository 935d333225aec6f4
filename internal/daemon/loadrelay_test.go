package daemon

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// A report that comes twice, by way of two hosts, is passed on once: otherwise each report would cost the
// hosts of a data centre twice the datagrams. A row with further failures, and the same row of a restarted
// host, are passed on.
func TestReportsArePassedOnOnce(t *testing.T) {
	row := func(failed uint64) []*peerpb.BackendLoad {
		return []*peerpb.BackendLoad{{Service: "shop", Backend: "b1", Failed: failed}, {Service: "shop", Backend: "b2", Failed: 1}}
	}
	r := &loadRelay{}
	for i, step := range []struct {
		life, failed uint64
		want         int
	}{{1, 1, 2}, {1, 1, 0}, {1, 2, 1}, {2, 2, 2}} {
		if got := len(r.news("h1", step.life, row(step.failed))); got != step.want {
			t.Errorf("step %d: %d rows are passed on, want %d", i, got, step.want)
		}
	}
}

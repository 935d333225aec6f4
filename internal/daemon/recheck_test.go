package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/world"
)

type noEvents struct{}

func (noEvents) Record(event.Number, string, string, string) {}

// A server that has been leaving for a long time gets requests again once its health check
// reports that it is not leaving. It does not if the health check fails, still reports leaving,
// is answered by another instance or is not answered, or if the server reported leaving only
// recently.
func TestLeavingServersAreRechecked(t *testing.T) {
	for name, row := range map[string]struct {
		answer func(w http.ResponseWriter)
		after  time.Duration
		want   availability.Reason
	}{
		"available": {func(w http.ResponseWriter) { w.Header().Set("Instance", "i1") }, time.Hour, availability.Available},
		"too early": {func(w http.ResponseWriter) { w.Header().Set("Instance", "i1") }, 30 * time.Second, availability.Leaving},
		"still leaving": {func(w http.ResponseWriter) {
			w.Header().Set("Instance", "i1")
			w.Header().Set("Pearshelf-Draining", "true")
		}, time.Hour, availability.Leaving},
		"unhealthy": {func(w http.ResponseWriter) {
			w.Header().Set("Instance", "i1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, time.Hour, availability.Leaving},
		"another instance": {func(w http.ResponseWriter) { w.Header().Set("Instance", "i2") }, time.Hour, availability.Leaving},
		"no answer":        {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, time.Hour, availability.Leaving},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { row.answer(w) }))
			defer server.Close()
			now := time.Now()
			proto := protocol.Default()
			proto.Instance = "Instance"
			view := &world.ServiceView{
				Config:   &config.Service{Name: "shop", Probe: config.Probe{Path: "/healthz"}},
				Backends: []world.BackendView{{ID: "i1", Address: strings.TrimPrefix(server.URL, "http://")}},
			}
			r := &rechecker{
				servers:  availability.NewTable(func() time.Time { return now }),
				snapshot: func() *world.Snapshot { return &world.Snapshot{Services: map[string]*world.ServiceView{"shop": view}} },
				client:   server.Client(),
				protocol: proto,
				events:   noEvents{},
			}
			id := process.Server{Service: "shop", ID: "i1"}
			r.servers.Record(id, protocol.ServerState{Leaving: true})
			now = now.Add(row.after)
			r.checkAll(context.Background())
			if got, _ := r.servers.Of(id); got != row.want {
				t.Errorf("availability is %v, want %v", got, row.want)
			}
			if again := r.servers.ClaimRechecks(1); row.after == time.Hour && len(again) > 0 {
				t.Error("server is due for another recheck immediately")
			}
		})
	}
}

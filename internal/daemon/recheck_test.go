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

// A server that has been leaving for long and whose health check says that it stays gets
// requests again; not one that is unwell, says again that it leaves, is another one at the
// address, cannot be asked, or has said so a moment ago.
func TestLeavingServersAreAskedAgain(t *testing.T) {
	for name, row := range map[string]struct {
		answer func(w http.ResponseWriter)
		after  time.Duration
		want   availability.Reason
	}{
		"stays":     {func(w http.ResponseWriter) { w.Header().Set("Instance", "i1") }, time.Hour, availability.Available},
		"too early": {func(w http.ResponseWriter) { w.Header().Set("Instance", "i1") }, 30 * time.Second, availability.Leaving},
		"still leaving": {func(w http.ResponseWriter) {
			w.Header().Set("Instance", "i1")
			w.Header().Set("Pearshelf-Draining", "true")
		}, time.Hour, availability.Leaving},
		"unwell": {func(w http.ResponseWriter) {
			w.Header().Set("Instance", "i1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, time.Hour, availability.Leaving},
		"another": {func(w http.ResponseWriter) { w.Header().Set("Instance", "i2") }, time.Hour, availability.Leaving},
		"silent":  {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, time.Hour, availability.Leaving},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { row.answer(w) }))
			defer server.Close()
			now := time.Now()
			asked := protocol.Own()
			asked.Instance = "Instance"
			view := &world.ServiceView{
				Config:   &config.Service{Name: "shop", Probe: config.Probe{Path: "/healthz"}},
				Backends: []world.BackendView{{ID: "i1", Address: strings.TrimPrefix(server.URL, "http://")}},
			}
			r := &rechecker{
				servers:  availability.NewTable(func() time.Time { return now }),
				snapshot: func() *world.Snapshot { return &world.Snapshot{Services: map[string]*world.ServiceView{"shop": view}} },
				client:   server.Client(),
				protocol: asked,
				events:   noEvents{},
			}
			named := process.Server{Service: "shop", ID: "i1"}
			r.servers.Learn(named, protocol.ServerState{Leaving: true})
			now = now.Add(row.after)
			r.round(context.Background())
			if got, _ := r.servers.Of(named); got != row.want {
				t.Errorf("it is %v, want %v", got, row.want)
			}
			if again := r.servers.TakeRechecks(1); row.after == time.Hour && len(again) > 0 {
				t.Error("it is asked again at once")
			}
		})
	}
}

package fleet

import (
	"context"
	"time"

	"github.com/pearshelf/pearshelf/internal/daemon"
	"github.com/pearshelf/pearshelf/internal/world"
)

const lookTimeout = time.Second

// Look runs read over a host's tables on its control loop. It does nothing on
// a host that does not run.
func Look(d *daemon.Daemon, read func(w *world.World)) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	_ = d.Engine().Do(ctx, func(w *world.World, _ time.Time) { read(w) }) // a host that is down shows nothing
}

// Live returns how many hosts a host holds for alive.
func Live(d *daemon.Daemon) int {
	live := 0
	Look(d, func(w *world.World) {
		for _, h := range w.Hosts {
			if h.Live() {
				live++
			}
		}
	})
	return live
}

// Rotation returns how a host uses a backend server.
func Rotation(d *daemon.Daemon, service, backend string) (rotation world.Rotation, state world.BackendState) {
	Look(d, func(w *world.World) {
		svc, ok := w.Services[service]
		if !ok {
			return
		}
		if b := svc.Backend(backend); b != nil {
			rotation, state = b.Rotation, b.State
		}
	})
	return rotation, state
}

// Revision returns the revision of a document on a host.
func Revision(d *daemon.Daemon, key string) uint64 {
	var revision uint64
	Look(d, func(w *world.World) { revision = w.Document(key).Revision })
	return revision
}

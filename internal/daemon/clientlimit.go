package daemon

import (
	"fmt"
	"net/http"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/clientlimit"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/settings"
)

// Names of the listeners, as counted.
const (
	listenerCallers   = "callers"
	listenerReadiness = "readiness"
	listenerPeers     = "peers"
	listenerOperators = "operators"
)

// makeClientLimiter makes the limits of what clients take. They charge the host's memory budget.
func (d *Daemon) makeClientLimiter() error {
	descriptors, err := maxDescriptors(d.settings)
	if err != nil {
		return err
	}
	d.connections = clientlimit.SharesOf(descriptors, d.settings.MemoryBytes())
	klog.InfoS("connections by kind", "descriptors", descriptors, "callers", d.connections.Callers, "peers", d.connections.Peers,
		"readiness", d.connections.Readiness, "operators", d.connections.Operators, "idle", d.connections.Idle,
		"receiveBuffer", d.connections.ReceiveBuffer)
	d.clientLimiter = clientlimit.New(clientlimit.Config{
		Memory:     d.memory,
		IsStreamed: dispatch.IsStreamed,
		Refusal:    refusalOf(d.protocol),
		Observer:   &clientLimitObserver{d: d},
	})
	return nil
}

// maxDescriptors returns the number of descriptors that the process may open.
func maxDescriptors(s *settings.Settings) (int, error) {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors, nil
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errs.Wrap(err, errs.KindSettings, "cannot read the limit of file descriptors", "set max_descriptors")
	}
	return int(min(limit.Cur, settings.MaxDescriptors)), nil
}

// refusalOf returns the response to a request that is given up before its head has arrived.
func refusalOf(p *protocol.Protocol) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: %s\r\n%s: %s\r\n\r\n",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable),
		p.FormatRetryAfter(dispatch.DefaultRetryAfter), dispatch.HeaderOutcome, dispatch.OutcomeNotRun)
}

// refuseCall refuses a call for which the host has no memory left.
func refuseCall(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no memory left for the call: repeat it", http.StatusServiceUnavailable)
}

// clientLimitObserver tells operators what the limits of clients do.
type clientLimitObserver struct{ d *Daemon }

// ClientRefused implements clientlimit.Observer.
func (o *clientLimitObserver) ClientRefused(listener string, lack clientlimit.Resource) {
	o.d.metrics.ClientRefused(listener, string(lack))
}

// LimitReached implements clientlimit.Observer.
func (o *clientLimitObserver) LimitReached(lack clientlimit.Resource) {
	o.d.events.Record(event.ClientLimitReached, "", "", string(lack))
}

// LimitEnded implements clientlimit.Observer.
func (o *clientLimitObserver) LimitEnded(lack clientlimit.Resource, refused int) {
	o.d.events.Record(event.ClientLimitEnded, "", "", fmt.Sprintf("%s: %d refused", lack, refused))
}

// Interface guard.
var _ clientlimit.Observer = (*clientLimitObserver)(nil)

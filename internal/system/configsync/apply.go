package configsync

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Accept applies a document received from the platform or a peer. A revision
// that is not newer than the current one is ignored, unless the document is
// incomplete. An invalid document is rejected as a whole.
func Accept(w *world.World, now time.Time, key string, revision uint64, raw []byte) {
	doc := w.Document(key)
	doc.FetchingUntil = time.Time{}
	if revision < doc.Revision || revision == doc.Revision && !doc.Incomplete {
		recordOlder(w, now, doc, revision)
		return
	}
	doc.Attempts = 0
	if revision == doc.Refused {
		return
	}
	err := applyRecovering(w, now, doc, revision, raw)
	if isIncomplete(err) {
		markIncomplete(w, now, doc, err)
		return
	}
	if err != nil {
		doc.Refused = revision
		doc.RefusedReason = err.Error()
		w.Record(now, event.ConfigRefused, "", "", fmt.Sprintf("%s revision %d: %v", key, revision, err))
		return
	}
	doc.Revision = revision
	doc.FetchingUntil = now.Add(MinFetchInterval)
	doc.RefusedReason = ""
	w.HeadsChanged = true
	w.Record(now, event.ConfigApplied, "", "", fmt.Sprintf("%s revision %d", key, revision))
	announce(w, now, key, revision)
}

func recordOlder(w *world.World, now time.Time, doc *world.Document, revision uint64) {
	if revision < doc.Revision {
		w.Record(now, event.ConfigOlderIgnored, "", "", fmt.Sprintf("%s revision %d ignored, %d is in force", doc.Key, revision, doc.Revision))
	}
}

const headPrefix = "head/"

// HeadKey returns the key of the register that announces a document's newest revision,
// called its head.
func HeadKey(key string) string { return headPrefix + key }

// IsHead reports whether a register is the head of a document; see HeadKey.
func IsHead(r *peerpb.Register) bool { return strings.HasPrefix(r.Key, headPrefix) }

// announce publishes a revision to the fleet unless it is already known.
func announce(w *world.World, now time.Time, key string, revision uint64) {
	if w.Registers.Stamp(HeadKey(key)).GetRevision() >= revision {
		return
	}
	value, err := proto.Marshal(&peerpb.Head{Key: key, Revision: revision, Holder: w.Self.Host})
	if err != nil {
		return
	}
	w.Write(now, &peerpb.Register{
		Key:   HeadKey(key),
		Stamp: &peerpb.Stamp{Revision: revision},
		Value: value,
	})
}

// applyRecovering applies a document and turns a panic into an error. Otherwise the document
// would crash every host that reads it, again after each restart.
func applyRecovering(w *world.World, now time.Time, doc *world.Document, revision uint64, raw []byte) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errs.New(errs.KindConfig, fmt.Sprintf("panic while applying the document: %v", cause), "publish an older version, and report the document")
		}
	}()
	if doc.Key == world.KeyDiscovered {
		return applyDiscovered(w, now, doc, revision, raw)
	}
	if err := applyDocument(w, now, doc.Key, raw); err != nil {
		return err
	}
	doc.Raw = raw
	return nil
}

func applyDocument(w *world.World, now time.Time, key string, raw []byte) error {
	switch key {
	case world.KeyIndex:
		return applyIndex(w, now, raw)
	case world.KeyHosts:
		return applyHosts(w, raw)
	default:
		return applyShard(w, now, key, raw)
	}
}

func applyIndex(w *world.World, now time.Time, raw []byte) error {
	index, err := config.ParseIndex(raw)
	if err != nil {
		return err
	}
	for name, svc := range w.Services {
		if _, listed := index.Shards[shardOf(svc.Document)]; !listed {
			delete(w.Services, name)
			w.ServicesChanged = true
		}
	}
	for key := range w.Customers {
		if _, listed := index.Shards[shardOf(key)]; !listed {
			delete(w.Customers, key)
			delete(w.SharedRoutes, key)
			w.ServicesChanged = true
		}
	}
	w.Index = index
	for shard := range index.Shards {
		w.Document(world.KeyShardPrefix + shard)
	}
	return nil
}

func shardOf(key string) string { return key[len(world.KeyShardPrefix):] }

func applyHosts(w *world.World, raw []byte) error {
	list, err := config.ParseHostList(raw)
	if err != nil {
		return err
	}
	w.HostList = *list
	w.HostsChanged = true
	return nil
}

func applyShard(w *world.World, now time.Time, key string, raw []byte) error {
	doc, err := config.ParseDocument(raw)
	if err != nil {
		return err
	}
	listed := make(map[string]bool, len(doc.Services))
	for i := range doc.Services {
		name := doc.Services[i].Name
		listed[name] = true
		if held, ok := w.Services[name]; ok && held.Document != key {
			return errs.New(errs.KindConfig, fmt.Sprintf("service %q is already declared in %s", name, held.Document), "declare each service in one shard")
		}
	}
	if err := checkCustomers(w, key, doc.Customers); err != nil {
		return err
	}
	for name, svc := range w.Services {
		if svc.Document == key && !listed[name] {
			delete(w.Services, name)
		}
	}
	for i := range doc.Services {
		applyService(w, now, key, &doc.Services[i])
	}
	w.SharedRoutes[key] = doc.Routes
	w.Customers[key] = doc.Customers
	w.ServicesChanged = true
	return nil
}

// checkCustomers rejects customers whose name or key another document already declares.
func checkCustomers(w *world.World, document string, customers []config.Customer) error {
	names := make(map[string]bool)
	keys := make(map[string]bool)
	for key, others := range w.Customers {
		if key == document {
			continue
		}
		for i := range others {
			names[others[i].Name] = true
			for _, digest := range others[i].KeyDigests {
				keys[digest] = true
			}
		}
	}
	for i := range customers {
		sharesKey := slices.ContainsFunc(customers[i].KeyDigests, func(digest string) bool { return keys[digest] })
		if names[customers[i].Name] || sharesKey {
			return errs.New(errs.KindConfig, fmt.Sprintf("customer %q or one of its keys is already declared in another document", customers[i].Name), "declare each customer in one shard")
		}
	}
	return nil
}

// withDiscovered returns the configuration with the registered backend
// servers filled in, unless it lists its own.
func withDiscovered(w *world.World, svc *world.Service, conf *config.Service) *config.Service {
	if svc.ListsBackends {
		return conf
	}
	merged := *conf
	merged.Backends = w.Discovered[conf.Name]
	return &merged
}

// applyService replaces the configuration of a service and keeps the state of
// the backend servers that remain.
func applyService(w *world.World, now time.Time, key string, conf *config.Service) {
	held, known := w.Services[conf.Name]
	svc := &world.Service{Document: key}
	if known {
		*svc = *held
	}
	if !known || held.Config != conf { // the document changed, not only the backend servers
		svc.ListsBackends = len(conf.Backends) > 0
	}
	conf = withDiscovered(w, svc, conf)
	svc.Config = conf
	svc.Dirty = true
	svc.Backends = make([]*world.BackendServer, 0, len(conf.Backends))
	for _, b := range conf.Backends {
		svc.Backends = append(svc.Backends, mergeBackend(w, now, held, b))
	}
	slices.SortFunc(svc.Backends, byID)
	svc.DetectionActive = svc.DetectionActive || known && !w.DirectPicking
	w.Services[conf.Name] = svc
}

func byID(a, b *world.BackendServer) int { return cmp.Compare(a.Config.ID, b.Config.ID) }

func mergeBackend(w *world.World, now time.Time, svc *world.Service, conf config.Backend) *world.BackendServer {
	if svc == nil {
		return &world.BackendServer{Config: conf, Since: now, ColdUntil: coldUntil(now, conf)}
	}
	held := svc.Backend(conf.ID)
	if held == nil || !held.Config.SameProcess(&conf) {
		// A server that joins a running service is cold and gets a slow start.
		// With direct picking, the load balancer handles cold servers.
		state := world.BackendTrial
		if w.DirectPicking {
			state = world.BackendHealthy
		}
		joined := &world.BackendServer{Config: conf, State: state, Since: now, ColdUntil: coldUntil(now, conf)}
		if len(svc.Backends) > 0 {
			joined.JoinedAt = now
		}
		return joined
	}
	kept := *held
	if kept.Config != conf {
		kept.ColdUntil = coldUntil(now, conf)
	}
	kept.Config = conf
	if conf.Leaving && !held.Config.Leaving {
		w.Record(now, event.BackendLeaving, svc.Config.Name, conf.ID, "marked by the platform")
	}
	return &kept
}

func coldUntil(now time.Time, conf config.Backend) time.Time {
	return now.Add(time.Duration(conf.Warmup))
}

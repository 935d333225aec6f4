package admin

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/adminpb"
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/directive"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/query"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/system/rotation"
	"github.com/pearshelf/pearshelf/internal/world"
)

// table is a result in the making.
type table struct {
	columns []string
	rows    [][]string
}

type lister func(w *world.World, now time.Time) table

var listers = map[string]lister{
	"hosts":       listHosts,
	"services":    listServices,
	"backends":    listBackends,
	"routes":      listRoutes,
	"customers":   listCustomers,
	"quarantine":  listQuarantine,
	"evacuations": listEvacuations,
	"directives":  listDirectives,
	"documents":   listDocuments,
}

// What this host knows beside its tables.
const (
	tableLimits       = "limits"
	tableRateLimits   = "ratelimits"
	tableAvailability = "availability"
)

func (c *command) show(s *query.Show) (*adminpb.QueryResponse, error) {
	var t table
	switch s.Table {
	case tableLimits:
		t = listLimits(c.server.limits.Limits())
	case tableRateLimits:
		t = listRateLimits(c.w, c.now, c.server.rateLimits.Limits())
	case tableAvailability:
		t = listAvailability(c.server.servers.Now())
	default:
		t = listers[s.Table](c.w, c.now)
	}
	resp := &adminpb.QueryResponse{Columns: t.columns}
	for _, cells := range t.rows {
		ok, unknown := query.Matches(s.Where, t.columns, cells)
		if unknown != "" {
			return nil, errs.New(errs.KindStatement, "table "+s.Table+" has no column "+unknown, "use one of "+strings.Join(t.columns, ", "))
		}
		if ok {
			resp.Rows = append(resp.Rows, &adminpb.Row{Cells: cells})
		}
	}
	return resp, nil
}

// listQuarantine shows the contents that are refused, and why.
func listQuarantine(w *world.World, now time.Time) table {
	t := table{columns: []string{"content", "scope", "service", "state", "for", "trials", "servers"}}
	for _, q := range quarantine.ViewOf(w.Registers).All() {
		state, left := "held", q.Until.Sub(now)
		if left <= 0 {
			state, left = "on-trial", 0
		}
		var servers []string
		for _, e := range q.Ends {
			servers = append(servers, fmt.Sprintf("%s %s ago by %s", e.Server, now.Sub(e.At).Round(time.Second), e.Host))
		}
		t.rows = append(t.rows, []string{
			q.Content.String(), q.Scope.String(), q.Service, state, left.Round(time.Second).String(),
			strconv.Itoa(q.Trials), strings.Join(servers, "; "),
		})
	}
	return t
}

func listHosts(w *world.World, _ time.Time) table {
	t := table{columns: []string{"host", "data_centre", "address", "state", "leaving", "path", "reader"}}
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		state := strings.ToLower(strings.TrimPrefix(h.Liveness.String(), "LIVENESS_"))
		t.rows = append(t.rows, []string{
			h.Name, h.DataCentre, h.Address, state,
			strconv.FormatBool(h.Leaving),
			pathName(h.Path),
			strconv.FormatBool(slices.Contains(w.Readers, h.Name)),
		})
	}
	return t
}

// pathName is the state of a host's path to the backend servers: working, lost or unknown.
func pathName(path peerpb.PathState) string {
	return strings.ToLower(strings.TrimPrefix(path.String(), "PATH_STATE_"))
}

// listEvacuations shows the data centres whose servers get no requests.
func listEvacuations(w *world.World, _ time.Time) table {
	t := table{columns: []string{"data_centre", "backends"}}
	for _, dataCentre := range w.Evacuated {
		count := 0
		for _, svc := range w.Services {
			count += svc.CountIn(dataCentre)
		}
		t.rows = append(t.rows, []string{dataCentre, strconv.Itoa(count)})
	}
	return t
}

func listServices(w *world.World, _ time.Time) table {
	t := table{columns: []string{"service", "detection", "floor", "backends", "in_rotation", "owners", "watchers", "document"}}
	for _, name := range w.ServiceNames() {
		svc := w.Services[name]
		in := 0
		for _, b := range svc.Backends {
			if b.Rotation.In {
				in++
			}
		}
		t.rows = append(t.rows, []string{
			name, string(svc.Config.Detection),
			strconv.Itoa(rotation.Floor(w, svc)),
			strconv.Itoa(len(svc.Backends)), strconv.Itoa(in),
			strings.Join(svc.Owners[w.Self.DataCentre], " "),
			strings.Join(svc.Watchers, " "), svc.Document,
		})
	}
	return t
}

func listBackends(w *world.World, now time.Time) table {
	t := table{columns: []string{"service", "backend", "address", "data_centre", "state", "rotation", "weight", "score", "since"}}
	for _, name := range w.ServiceNames() {
		for _, b := range w.Services[name].Backends {
			t.rows = append(t.rows, []string{
				name, b.Config.ID, b.Config.Address, b.Config.DataCentre,
				b.State.String(), rotationWord(b.Rotation),
				fmt.Sprintf("%.2f", b.Rotation.Weight),
				fmt.Sprintf("%.1f", b.Detection.Relative),
				now.Sub(b.Since).Round(time.Second).String(),
			})
		}
	}
	return t
}

func rotationWord(r world.Rotation) string {
	switch {
	case r.Reason != "":
		return r.Reason
	case r.In:
		return "in"
	default:
		return "out"
	}
}

func listRoutes(w *world.World, _ time.Time) table {
	t := table{columns: []string{"service", "host", "path", "methods", "idempotent"}}
	for _, name := range w.ServiceNames() {
		for _, r := range w.Services[name].Config.Routes {
			t.rows = append(t.rows, []string{name, r.Host, r.Path, strings.Join(r.Methods, ","), strconv.FormatBool(r.Idempotent)})
		}
	}
	return t
}

// listCustomers shows what the configuration says of customers, without their keys.
func listCustomers(w *world.World, _ time.Time) table {
	t := table{columns: []string{"customer", "keys", "priority", "per_second", "burst", "document"}}
	for _, document := range slices.Sorted(maps.Keys(w.Customers)) {
		for _, c := range w.Customers[document] {
			priority := "route's"
			if c.Priority != nil {
				priority = strconv.Itoa(*c.Priority)
			}
			t.rows = append(t.rows, []string{
				c.Name, strconv.Itoa(len(c.KeyDigests)), priority,
				strconv.FormatFloat(c.PerSecond, 'g', -1, 64), strconv.FormatFloat(c.Burst, 'g', -1, 64), document,
			})
		}
	}
	return t
}

// listLimits shows the customers that this host serves, the busiest first.
func listLimits(rows []quota.CustomerStatus) table {
	t := table{columns: []string{"customer", "per_second", "burst", "use", "part", "allowed", "refused", "home", "heard", "alone"}}
	for _, row := range rows {
		t.rows = append(t.rows, []string{
			row.Customer,
			strconv.FormatFloat(row.Limit.PerSecond, 'g', -1, 64), strconv.FormatFloat(row.Limit.Burst, 'g', -1, 64),
			fmt.Sprintf("%.2f", row.Rate), fmt.Sprintf("%.3f", row.Share),
			strconv.FormatUint(row.Allowed, 10), strconv.FormatUint(row.Refused, 10),
			row.Home, row.SinceAnswer.Round(time.Millisecond).String(), strconv.FormatBool(row.HomeUnreachable),
		})
	}
	return t
}

// listRateLimits shows the rate limits that servers name, and what this host has sent of them.
func listRateLimits(w *world.World, now time.Time, rows []quota.CustomerStatus) table {
	t := table{columns: []string{"service", "backend", "per_second", "for", "heard_by", "sent", "withheld", "home", "alone"}}
	for _, limit := range ratelimit.ViewOf(w.Registers).All() {
		used := quota.CustomerStatus{}
		name := limit.Server.Key().String()
		if i := slices.IndexFunc(rows, func(r quota.CustomerStatus) bool { return r.Customer == name }); i >= 0 {
			used = rows[i]
		}
		t.rows = append(t.rows, []string{
			limit.Server.Service, limit.Server.ID, strconv.FormatFloat(limit.PerSecond, 'g', -1, 64),
			now.Sub(limit.Since).Round(time.Second).String(), limit.ReportedBy,
			strconv.FormatUint(used.Allowed, 10), strconv.FormatUint(used.Refused, 10),
			used.Home, strconv.FormatBool(used.HomeUnreachable),
		})
	}
	return t
}

// listAvailability shows the servers that get no requests from this host, as they report themselves.
func listAvailability(moment availability.TableView) table {
	t := table{columns: []string{"service", "backend", "state", "for", "said", "left"}}
	for _, s := range moment.All() {
		reason := s.ReasonAt(moment.Time())
		since, left := s.LeavingSince, "until its process ends"
		switch reason {
		case availability.Resting:
			since, left = s.RestSince, s.RestUntil.Sub(moment.Time()).Round(time.Millisecond).String()
		case availability.RateLimited:
			since, left = s.RateLimitedSince, s.RateLimitedUntil.Sub(moment.Time()).Round(time.Millisecond).String()
		}
		said := "nothing"
		if !s.ReportedAt.IsZero() {
			said = moment.Time().Sub(s.ReportedAt).Round(time.Millisecond).String() + " ago"
		}
		t.rows = append(t.rows, []string{
			s.Server.Service, s.Server.ID, reason.String(),
			moment.Time().Sub(since).Round(time.Millisecond).String(),
			said, left,
		})
	}
	slices.SortFunc(t.rows, slices.Compare)
	return t
}

func listDirectives(w *world.World, _ time.Time) table {
	t := table{columns: []string{"kind", "target", "value", "actor", "from", "at", "version"}}
	for _, r := range directive.All(w.Registers) {
		d, err := directive.Parse(r)
		if err != nil {
			continue
		}
		t.rows = append(t.rows, []string{
			d.Kind, d.Target, d.Value, d.Actor, r.Stamp.Host,
			clockTime(r.Stamp.Clock), strconv.FormatUint(r.Stamp.Clock, 10),
		})
	}
	return t
}

func listDocuments(w *world.World, _ time.Time) table {
	t := table{columns: []string{"document", "revision", "announced", "refused", "reason"}}
	keys := make([]string, 0, len(w.Documents))
	for key := range w.Documents {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		doc := w.Documents[key]
		announced := w.Registers.Stamp(configsync.HeadKey(key)).GetRevision()
		t.rows = append(t.rows, []string{
			key, strconv.FormatUint(doc.Revision, 10), strconv.FormatUint(announced, 10),
			strconv.FormatUint(doc.Refused, 10), doc.RefusedReason,
		})
	}
	return t
}

package admin

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/adminpb"
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/directive"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/query"
	"github.com/pearshelf/pearshelf/internal/system/rotation"
	"github.com/pearshelf/pearshelf/internal/world"
)

func clockTime(clock uint64) string {
	return hlc.Timestamp(clock).Time().UTC().Format(time.RFC3339)
}

// Query runs one statement.
func (s *Server) Query(ctx context.Context, req *adminpb.QueryRequest) (*adminpb.QueryResponse, error) {
	statement, err := query.Parse(req.Statement)
	if err != nil {
		return nil, twirpError(err)
	}
	var resp *adminpb.QueryResponse
	var failed error
	err = s.engine.Do(ctx, func(w *world.World, now time.Time) {
		c := &command{server: s, w: w, now: now, actor: req.Actor, text: req.Statement}
		resp, failed = c.run(statement)
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return nil, twirpError(err)
	}
	return resp, nil
}

// command is one statement on the control loop's goroutine.
type command struct {
	server *Server
	w      *world.World
	now    time.Time
	actor  string
	text   string
}

func (c *command) run(s *query.Statement) (*adminpb.QueryResponse, error) {
	switch {
	case s.Show != nil:
		return c.show(s.Show)
	case s.Drain != nil:
		return c.drain(s.Drain, false)
	case s.Undrain != nil:
		return c.drain(s.Undrain, true)
	case s.Stop != nil:
		return c.stop(s.Stop)
	case s.Lift != nil:
		return c.lift(s.Lift)
	default:
		return c.setFloor(s.Set)
	}
}

func (c *command) service(name string) (*world.Service, error) {
	svc, ok := c.w.Services[name]
	if !ok {
		return nil, errs.New(errs.KindNotFound, "no service "+name, "show services lists them")
	}
	return svc, nil
}

func (c *command) drain(t *query.Target, undo bool) (*adminpb.QueryResponse, error) {
	svc, err := c.service(t.Service)
	if err != nil {
		return nil, err
	}
	if svc.Backend(t.Backend) == nil {
		return nil, errs.New(errs.KindNotFound, "service "+t.Service+" has no backend server "+t.Backend, "show backends where service="+t.Service)
	}
	if !undo {
		if err := c.checkFloor(svc, t.Backend); err != nil {
			return nil, err
		}
	}
	target := t.Service + "/" + t.Backend
	return c.write(svc, &peerpb.Directive{Kind: directive.KindDrain, Target: target}, undo, t.Expect)
}

// checkFloor refuses a drain that the floor would not let act.
func (c *command) checkFloor(svc *world.Service, backend string) error {
	in := 0
	for _, b := range svc.Backends {
		if b.Rotation.In && b.Config.ID != backend {
			in++
		}
	}
	floor := rotation.Floor(c.w, svc)
	if in >= floor {
		return nil
	}
	c.w.Record(c.now, event.DirectiveRefused, svc.Config.Name, backend, c.text)
	return errs.New(errs.KindFloor, fmt.Sprintf("draining %s would leave %d servers of %s in rotation, its floor is %d", backend, in, svc.Config.Name, floor), "undrain another server or lower the floor first")
}

func (c *command) stop(h *query.Host) (*adminpb.QueryResponse, error) {
	if _, ok := c.w.Hosts[h.Name]; !ok {
		return nil, errs.New(errs.KindNotFound, "no host "+h.Name, "show hosts lists them")
	}
	return c.write(nil, &peerpb.Directive{Kind: directive.KindStop, Target: h.Name}, false, "")
}

func (c *command) setFloor(set *query.Set) (*adminpb.QueryResponse, error) {
	svc, err := c.service(set.Service)
	if err != nil {
		return nil, err
	}
	if set.Floor < 0 || set.Floor > len(svc.Backends) {
		return nil, errs.New(errs.KindStatement, fmt.Sprintf("floor %d is outside 0 to %d", set.Floor, len(svc.Backends)), "give a floor within the service's number of backend servers")
	}
	return c.write(svc, &peerpb.Directive{
		Kind:   directive.KindFloor,
		Target: set.Service,
		Value:  strconv.Itoa(set.Floor),
		Base:   strconv.Itoa(svc.Config.Floor),
	}, false, set.Expect)
}

// lift ends a quarantine on all hosts.
func (c *command) lift(l *query.Lift) (*adminpb.QueryResponse, error) {
	id, err := content.Parse(l.Content)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindStatement, "no content is named so", "show quarantine lists them")
	}
	if _, held := c.w.Registers.Get(quarantine.Key(id)); !held {
		return nil, errs.New(errs.KindNotFound, "content "+l.Content+" is not in quarantine", "show quarantine lists what is")
	}
	r := quarantine.Lift(id)
	c.server.engine.Announce(c.now, r)
	c.w.Record(c.now, event.ContentCleared, "", "", id.Short()+": lifted by "+c.actor)
	return &adminpb.QueryResponse{Ticket: ticketOf(r)}, nil
}

func ticketOf(r *peerpb.Register) *adminpb.Ticket {
	return &adminpb.Ticket{Key: r.Key, Revision: r.Stamp.Revision, Clock: r.Stamp.Clock, Host: r.Stamp.Host}
}

// write stores a directive if the field is still at the expected version.
func (c *command) write(svc *world.Service, d *peerpb.Directive, undo bool, expect string) (*adminpb.QueryResponse, error) {
	d.Actor = c.actor
	r, err := directive.New(d)
	if err != nil {
		return nil, err
	}
	if err := c.checkVersion(r.Key, expect); err != nil {
		return nil, err
	}
	r.Deleted = undo
	if svc != nil {
		r.Stamp = &peerpb.Stamp{Revision: c.w.Document(svc.Document).Revision}
	}
	c.server.engine.Write(c.now, r)
	c.w.Record(c.now, event.DirectiveAccepted, serviceName(svc), "", c.text+" by "+c.actor)
	return &adminpb.QueryResponse{Ticket: ticketOf(r)}, nil
}

func serviceName(svc *world.Service) string {
	if svc == nil {
		return ""
	}
	return svc.Config.Name
}

func (c *command) checkVersion(key, expect string) error {
	if expect == "" {
		return nil
	}
	held := strconv.FormatUint(c.w.Registers.Stamp(key).GetClock(), 10)
	if held == expect {
		return nil
	}
	c.w.Record(c.now, event.DirectiveRefused, "", "", c.text)
	return errs.New(errs.KindConflict, "another operator changed this field: its version is "+held+", not "+expect, "look with show directives, then repeat with expect "+held)
}

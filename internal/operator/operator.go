// Package operator implements the commands of the operators' command-line tool. It sends statements
// to a host, waits until all hosts confirm them, and prints the results.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pearshelf/pearshelf/internal/api/adminpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/peer"
	"github.com/pearshelf/pearshelf/internal/settings"
)

// Exit codes of the tool.
const (
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitUnconfirmed = 3
	ExitSuperseded  = 4
)

const pollInterval = 100 * time.Millisecond

// Outcomes of a write that have exit codes of their own.
var (
	// ErrUnconfirmed means that the write was accepted but has not reached every host yet.
	ErrUnconfirmed = errs.New(errs.KindPeerUnreachable, "not every host has confirmed", "repeat with a longer --timeout, or check the hosts with show hosts; the write continues to propagate")
	// ErrSuperseded means that a later write of another operator replaced this one.
	ErrSuperseded = errs.New(errs.KindConflict, "superseded by another operator's write to the same field", "check the current value with show directives before repeating the write")
)

// Config configures an App.
type Config struct {
	// Host is the address (IP:port) of the operator listener of any host.
	Host   string
	Output Format
	Actor  string
	TLS    settings.TLS
	Out    io.Writer
}

// App runs the commands of the tool.
type App struct {
	conf   Config
	client adminpb.Admin
}

// New returns an App that connects to conf.Host.
func New(conf Config) (*App, error) {
	tlsConf, err := peer.MutualTLS(conf.TLS)
	if err != nil {
		return nil, err
	}
	return &App{conf: conf, client: peer.NewClients(tlsConf).Admin(conf.Host)}, nil
}

// remoteError prints a host's error without the prefix that the transport adds.
type remoteError struct{ refusal twirp.Error }

// Error returns the message and the remedy as the host wrote them.
func (e remoteError) Error() string { return e.refusal.Msg() }

func (e remoteError) Unwrap() error { return e.refusal }

func toRemoteError(err error) error {
	var refusal twirp.Error
	if errors.As(err, &refusal) {
		return remoteError{refusal}
	}
	return err
}

// ExitCode maps an error to the exit code of the tool.
func ExitCode(err error) int {
	var twerr twirp.Error
	switch {
	case errors.Is(err, ErrUnconfirmed):
		return ExitUnconfirmed
	case errors.Is(err, ErrSuperseded):
		return ExitSuperseded
	case errors.As(err, &twerr) && twerr.Code() == twirp.InvalidArgument,
		errs.KindOf(err) == errs.KindConfig:
		return ExitInvalid
	case errors.As(err, &twerr) && twerr.Code() == twirp.Aborted:
		return ExitSuperseded
	default:
		return ExitFailed
	}
}

// Statement runs a statement and prints its rows. If the statement is a write, it waits until every
// host has confirmed the write.
func (a *App) Statement(ctx context.Context, verb string, words []string) error {
	text := verb + " " + strings.Join(words, " ")
	resp, err := a.client.Query(ctx, &adminpb.QueryRequest{Statement: text, Actor: a.conf.Actor})
	if err != nil {
		return toRemoteError(err)
	}
	if resp.Ticket != nil {
		return a.confirm(ctx, resp.Ticket)
	}
	rows := make([][]string, 0, len(resp.Rows))
	for _, row := range resp.Rows {
		rows = append(rows, row.Cells)
	}
	return a.print(Table{Columns: resp.Columns, Rows: rows})
}

// confirm polls until all live hosts have the write, the write is superseded, or ctx is done.
func (a *App) confirm(ctx context.Context, ticket *adminpb.Ticket) error {
	var last *adminpb.ConfirmResponse
	for {
		resp, err := a.client.Confirm(ctx, &adminpb.ConfirmRequest{Ticket: ticket})
		if err != nil && last == nil {
			return err
		}
		if err == nil {
			last = resp
		}
		verdict := confirmationError(last)
		if verdict == nil || errors.Is(verdict, ErrSuperseded) || ctx.Err() != nil {
			return errors.Join(a.print(confirmationTable(last)), verdict)
		}
		waitForNextPoll(ctx)
	}
}

func waitForNextPoll(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pollInterval):
	}
}

func confirmationError(resp *adminpb.ConfirmResponse) error {
	missing := false
	for _, h := range resp.Hosts {
		switch h.State {
		case adminpb.HostConfirmation_STATE_SUPERSEDED:
			return ErrSuperseded
		case adminpb.HostConfirmation_STATE_CONFIRMED:
		default:
			missing = true
		}
	}
	if missing {
		return ErrUnconfirmed
	}
	return nil
}

func confirmationTable(resp *adminpb.ConfirmResponse) Table {
	t := Table{Columns: []string{"host", "state", "detail"}}
	confirmed := 0
	for _, h := range resp.Hosts {
		state := strings.ToLower(strings.TrimPrefix(h.State.String(), "STATE_"))
		if h.State == adminpb.HostConfirmation_STATE_CONFIRMED {
			confirmed++
		}
		t.Rows = append(t.Rows, []string{h.Host, state, h.Detail})
	}
	t.Summary = fmt.Sprintf("%d of %d hosts confirmed", confirmed, len(resp.Hosts))
	return t
}

// Timeline prints the events of all hosts, merged into one timeline.
func (a *App) Timeline(ctx context.Context, since time.Duration, service string) error {
	resp, err := a.client.Timeline(ctx, &adminpb.TimelineRequest{SinceMs: uint64(since.Milliseconds()), Service: service})
	if err != nil {
		return err
	}
	t := Table{Columns: []string{"time", "event", "name", "host", "service", "backend", "detail"}}
	for _, e := range resp.Events {
		at := hlc.Timestamp(e.Clock).Time().UTC().Format("15:04:05.000")
		t.Rows = append(t.Rows, []string{at, fmt.Sprint(e.Number), e.Name, e.Host, e.Service, e.Backend, e.Detail})
	}
	if len(resp.Unreachable) > 0 {
		t.Summary = "events missing from unreachable hosts: " + strings.Join(resp.Unreachable, " ")
	}
	return a.print(t)
}

// KeyDigest prints the digest of the customer's key read from in. The key is not a command-line
// argument because other users of the machine can see those.
func (a *App) KeyDigest(in io.Reader) error {
	raw, err := io.ReadAll(io.LimitReader(in, maxKeyBytes))
	if err != nil {
		return errs.Wrap(err, errs.KindStatement, "cannot read the key", "pass the key on standard input")
	}
	key := strings.TrimSpace(string(raw))
	if key == "" || strings.ContainsAny(key, " ,\t\n") {
		return errs.New(errs.KindStatement, "standard input does not contain a single key", "pass one key without spaces or commas on standard input")
	}
	_, err = fmt.Fprintln(a.conf.Out, customer.DigestOf(key))
	return err
}

// maxKeyBytes limits how much of the input is read.
const maxKeyBytes = 4096

// CheckConfig validates a shard document and prints a summary of its services.
func (a *App) CheckConfig(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	doc, err := config.ParseDocument(raw)
	if err != nil {
		return err
	}
	t := Table{Columns: []string{"service", "backends", "slots", "floor", "detection"}}
	for i := range doc.Services {
		svc := &doc.Services[i]
		t.Rows = append(t.Rows, []string{
			svc.Name, fmt.Sprint(len(svc.Backends)), fmt.Sprint(svc.TotalSlots()), fmt.Sprint(svc.Floor), string(svc.Detection),
		})
	}
	t.Summary = "the document is valid"
	return a.print(t)
}

// DiffConfig prints each document of each host that is older than the newest revision in the fleet,
// and the hosts that cannot be reached. It returns ErrUnconfirmed if there are any.
func (a *App) DiffConfig(ctx context.Context) error {
	t, behind, err := a.configDiff(ctx)
	if err != nil {
		return err
	}
	if err := a.print(t); err != nil {
		return err
	}
	if behind {
		return ErrUnconfirmed
	}
	return nil
}

// WaitConfig waits until every host can be reached and has the newest revision of every document.
func (a *App) WaitConfig(ctx context.Context) error {
	for {
		t, behind, err := a.configDiff(ctx)
		if err != nil {
			return err
		}
		if !behind {
			return a.print(t)
		}
		if ctx.Err() != nil {
			return errors.Join(a.print(t), ErrUnconfirmed)
		}
		waitForNextPoll(ctx)
	}
}

func (a *App) configDiff(ctx context.Context) (t Table, behind bool, err error) {
	resp, err := a.client.ConfigStatus(ctx, &adminpb.ConfigStatusRequest{})
	if err != nil {
		return Table{}, false, err
	}
	newest := make(map[string]uint64)
	for _, h := range resp.Hosts {
		for key, revision := range h.Revisions {
			newest[key] = max(newest[key], revision)
		}
	}
	t = Table{Columns: []string{"host", "document", "revision", "newest", "error"}}
	for _, h := range resp.Hosts {
		if !h.Reachable {
			t.Rows = append(t.Rows, []string{h.Host, "", "", "", "unreachable"})
			continue
		}
		for key, revision := range newest {
			if h.Revisions[key] < revision {
				t.Rows = append(t.Rows, []string{h.Host, key, fmt.Sprint(h.Revisions[key]), fmt.Sprint(revision), h.LastError})
			}
		}
	}
	behind = len(t.Rows) > 0
	t.Summary = fmt.Sprintf("%d hosts, %d documents, %d differences", len(resp.Hosts), len(newest), len(t.Rows))
	return t, behind, nil
}

// Package operator is the logic of the operators' tool: it sends statements to
// a host, waits for the fleet to confirm them, and prints results.
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

const pollEvery = 100 * time.Millisecond

// Typed results that are no plain failure.
var (
	// ErrUnconfirmed: the write is accepted but some host does not hold it yet.
	ErrUnconfirmed = errs.New(errs.KindPeer, "not every host has confirmed", "repeat with a longer --timeout, or see show hosts; the write still spreads")
	// ErrSuperseded: another operator's later write to the field won.
	ErrSuperseded = errs.New(errs.KindConflict, "another operator's write to this field won", "look with show directives before you repeat")
)

// Config of an App.
type Config struct {
	// Host is the operator listener of any host, IP:port.
	Host   string
	Output Format
	Actor  string
	TLS    settings.TLS
	Out    io.Writer
}

// App runs the tool's commands.
type App struct {
	conf   Config
	client adminpb.Admin
}

// New returns an app that talks to one host.
func New(conf Config) (*App, error) {
	tlsConf, err := peer.MutualTLS(conf.TLS)
	if err != nil {
		return nil, err
	}
	return &App{conf: conf, client: peer.NewClients(tlsConf).Admin(conf.Host)}, nil
}

// remoteError shows a host's refusal without the transport's words.
type remoteError struct{ refusal twirp.Error }

// Error returns message and remedy.
func (e remoteError) Error() string { return e.refusal.Msg() }

// Unwrap returns the transport's error.
func (e remoteError) Unwrap() error { return e.refusal }

func plain(err error) error {
	var refusal twirp.Error
	if errors.As(err, &refusal) {
		return remoteError{refusal}
	}
	return err
}

// ExitCode maps an error to the tool's exit code.
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

// Statement sends a statement and, if it wrote something, waits until every
// host has confirmed.
func (a *App) Statement(ctx context.Context, verb string, words []string) error {
	text := verb + " " + strings.Join(words, " ")
	resp, err := a.client.Query(ctx, &adminpb.QueryRequest{Statement: text, Actor: a.conf.Actor})
	if err != nil {
		return plain(err)
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

// confirm polls the fleet until all live hosts hold the write or time is up.
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
		verdict := judge(last)
		if verdict == nil || errors.Is(verdict, ErrSuperseded) || ctx.Err() != nil {
			return errors.Join(a.print(confirmationTable(last)), verdict)
		}
		pause(ctx)
	}
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pollEvery):
	}
}

func judge(resp *adminpb.ConfirmResponse) error {
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

// Timeline prints the merged events of all hosts.
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
		t.Summary = "missing, because unreachable: " + strings.Join(resp.Unreachable, " ")
	}
	return a.print(t)
}

// KeyDigest prints the digest of the customer's key that in holds. A key is read from a
// file or pipe, not from the command line, which others on the machine can see.
func (a *App) KeyDigest(in io.Reader) error {
	raw, err := io.ReadAll(io.LimitReader(in, keyLimitBytes))
	if err != nil {
		return errs.Wrap(err, errs.KindStatement, "key cannot be read", "give the key on standard input")
	}
	key := strings.TrimSpace(string(raw))
	if key == "" || strings.ContainsAny(key, " ,\t\n") {
		return errs.New(errs.KindStatement, "standard input holds no key", "give one key, a word without spaces or commas, on standard input")
	}
	_, err = fmt.Fprintln(a.conf.Out, customer.DigestOf(key))
	return err
}

// keyLimitBytes bounds what is read of a key.
const keyLimitBytes = 4096

// CheckConfig checks a shard document.
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

// DiffConfig prints every host and document that is not at the newest revision.
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

// WaitConfig waits until DiffConfig would print nothing.
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
		pause(ctx)
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

// Command pearshelf is the operators' tool: it queries a fleet, drains, stops
// and sets, and shows the time line and the configuration in force.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/pearshelf/pearshelf/internal/explain"
	"github.com/pearshelf/pearshelf/internal/operator"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/internal/version"
)

type flags struct {
	Host    string           `help:"Operator listener of any host, IP:port." env:"PEARSHELF_HOST" default:"127.0.0.1:7080"`
	Output  string           `help:"Output: table, json or yaml." enum:"table,json,yaml" default:"table" short:"o"`
	Timeout time.Duration    `help:"Longest wait for the fleet." default:"10s"`
	Actor   string           `help:"Who asks, for the time line." env:"USER" default:"operator"`
	Cert    string           `help:"Client certificate, PEM." type:"path"`
	Key     string           `help:"Client key, PEM." type:"path"`
	CA      string           `help:"CA certificate of the hosts, PEM." type:"path"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Show      statement      `cmd:"" help:"List a table: hosts, services, backends, routes, customers, limits, ratelimits, availability, evacuations, quarantine, directives or documents. Example: show backends where service=checkout and state=ejected"`
	Drain     statement      `cmd:"" help:"Give a backend server no new work. Example: drain backend checkout/b12"`
	Undrain   statement      `cmd:"" help:"End a drain. Example: undrain backend checkout/b12"`
	Stop      statement      `cmd:"" help:"Planned stop of a host. Example: stop host h7"`
	Lift      statement      `cmd:"" help:"Let a request that ended servers be sent again. Example: lift quarantine 2ec3ba1107f34e6a9d1c5b8f3a7e6d21"`
	Set       statement      `cmd:"" help:"Change a field of a service. Example: set service seatmap floor 5"`
	Timeline  timeline       `cmd:"" help:"Events of all hosts in causal order."`
	Explain   explainRequest `cmd:"" help:"What became of a request and why, from the logs of the hosts. Example: explain 9c41d07be2a35f68 logs/*.log"`
	Account   accountLogs    `cmd:"" help:"Why requests were not served, summed over the logs of the hosts. Example: account --by service logs/*.log"`
	Unused    unusedServers  `cmd:"" help:"Backend servers that got no requests, and why, from the logs of the hosts. Example: unused --service checkout --at 12:52:20 logs/*.log"`
	KeyDigest keyDigest      `cmd:"" help:"Print the digest of a customer's key for key_digests; the key is read from standard input. Example: pearshelf key-digest < key.txt"`
	Config    struct {
		Check checkConfig `cmd:"" help:"Check a shard document before it is published."`
		Diff  diffConfig  `cmd:"" help:"Show hosts whose revisions differ from the newest."`
		Wait  waitConfig  `cmd:"" help:"Wait until every host has the newest revisions."`
	} `cmd:"" help:"The configuration in force."`
}

// statement is a sentence of the operators' language; the tool's own command
// is its first word.
type statement struct {
	Words []string `arg:"" help:"The rest of the statement." passthrough:""`
}

// Run sends the statement.
func (s *statement) Run(ctx context.Context, app *operator.App, kctx *kong.Context) error {
	verb := kctx.Selected().Name
	return app.Statement(ctx, verb, s.Words)
}

type timeline struct {
	Since   time.Duration `help:"How far back." default:"10m"`
	Service string        `help:"Only events of this service."`
}

// Run prints the time line.
func (t *timeline) Run(ctx context.Context, app *operator.App) error {
	return app.Timeline(ctx, t.Since, t.Service)
}

type explainRequest struct {
	Request string   `arg:"" help:"ID of the request."`
	Logs    []string `arg:"" optional:"" help:"Logs of the hosts, each named after its host; standard input if none." type:"existingfile"`
}

// Run explains a request without a fleet.
func (e *explainRequest) Run(app *operator.App) error {
	return app.Explain(e.Request, e.Logs, os.Stdin)
}

type accountLogs struct {
	By   string   `help:"Group by: cause, service, customer or second; limit compares the refusals of customers with their limits, bytes sums the bytes between data centres by kind." enum:"cause,service,customer,second,limit,bytes" default:"cause"`
	Logs []string `arg:"" optional:"" help:"Logs of the hosts, each named after its host; standard input if none." type:"existingfile"`
}

// Run sums logs without a fleet.
func (a *accountLogs) Run(app *operator.App) error {
	return app.Account(explain.Grouping(a.By), a.Logs, os.Stdin)
}

type unusedServers struct {
	Service string        `help:"Only servers of this service."`
	Least   time.Duration `help:"Only those that got none for so long." default:"2s"`
	At      string        `help:"Only those that got none at this time of day, as in the logs: 15:04:05.000."`
	Logs    []string      `arg:"" optional:"" help:"Logs of the hosts, each named after its host; standard input if none." type:"existingfile"`
}

// Run reads logs without a fleet.
func (u *unusedServers) Run(app *operator.App) error {
	return app.Unused(u.Service, u.Least, u.At, u.Logs, os.Stdin)
}

type keyDigest struct{}

// Run prints the digest of a key without a fleet.
func (keyDigest) Run(app *operator.App) error { return app.KeyDigest(os.Stdin) }

type checkConfig struct {
	File string `arg:"" help:"Document to check." type:"existingfile"`
}

// Run checks a document without a fleet.
func (c *checkConfig) Run(app *operator.App) error { return app.CheckConfig(c.File) }

type diffConfig struct{}

// Run compares the hosts' revisions.
func (diffConfig) Run(ctx context.Context, app *operator.App) error { return app.DiffConfig(ctx) }

type waitConfig struct{}

// Run waits for the hosts to agree.
func (waitConfig) Run(ctx context.Context, app *operator.App) error { return app.WaitConfig(ctx) }

func main() {
	var f flags
	kctx := kong.Parse(&f,
		kong.Name("pearshelf"),
		kong.Description("Operators' tool of a pearshelf fleet. Exit codes: 0 done, 1 failed, 2 not understood or invalid, 3 not confirmed by every host, 4 superseded by another operator."),
		kong.Vars{"version": version.String()},
		kong.UsageOnError(),
	)
	app, err := operator.New(operator.Config{
		Host:   f.Host,
		Output: operator.Format(f.Output),
		Actor:  f.Actor,
		TLS:    settings.TLS{CertFile: f.Cert, KeyFile: f.Key, CAFile: f.CA},
		Out:    os.Stdout,
	})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
		defer cancel()
		kctx.BindTo(ctx, (*context.Context)(nil))
		err = kctx.Run(app, kctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pearshelf:", err)
		os.Exit(operator.ExitCode(err))
	}
}

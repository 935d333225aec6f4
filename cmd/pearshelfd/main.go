// Command pearshelfd is the daemon on each entry host.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/daemon"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/internal/version"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

type flags struct {
	Settings string           `help:"Settings file, YAML. docs/SETTINGS.md lists every field." type:"path" required:"" short:"s"`
	Check    bool             `help:"Check the settings file and exit."`
	Verbose  int              `help:"Log verbosity, 0 to 4." short:"v" default:"0"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var f flags
	kong.Parse(&f,
		kong.Name("pearshelfd"),
		kong.Description("Entry host of a pearshelf fleet. SIGTERM is a planned stop that loses no request; a second one ends it at once."),
		kong.Vars{"version": version.String()},
	)
	setVerbosity(f.Verbose)
	defer klog.Flush()
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "pearshelfd:", err)
		klog.Flush()
		os.Exit(exitCode(err))
	}
}

func setVerbosity(level int) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	if err := set.Set("v", strconv.Itoa(level)); err != nil {
		klog.ErrorS(err, "verbosity not set")
	}
}

func exitCode(err error) int {
	if errs.KindOf(err) == errs.KindSettings {
		return exitSettings
	}
	return exitFailure
}

func run(f flags) error {
	s, err := settings.Load(f.Settings)
	if err != nil || f.Check {
		return err
	}
	d, err := daemon.New(s, daemon.Hooks{})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	return waitAndStop(d)
}

// waitAndStop runs until a signal or an operator asks for a planned stop; a
// second signal cuts the stop short.
func waitAndStop(d *daemon.Daemon) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-d.StopRequests():
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	err := d.Stop(ctx)
	if errors.Is(err, context.Canceled) {
		return errs.Wrap(err, errs.KindCanceled, "planned stop cut short by a second signal", "wait for requests in flight next time")
	}
	return err
}

// Command pearshelfd is the daemon on each entry host.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/daemon"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/logging"
	"github.com/pearshelf/pearshelf/internal/memory"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/internal/version"
	"github.com/pearshelf/pearshelf/platform"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

type flags struct {
	Settings string           `help:"Settings file, YAML. docs/SETTINGS.md lists every field." type:"path" required:"" short:"s" env:"PEARSHELF_SETTINGS"`
	Check    bool             `help:"Check the settings file and exit."`
	Verbose  int              `help:"Log verbosity, 0 to 4." short:"v" default:"0"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first: by default the signal ends the process
	var f flags
	kong.Parse(&f,
		kong.Name("pearshelfd"),
		kong.Description("Entry host of a pearshelf fleet. SIGTERM is a planned stop that loses no request; a second one ends it at once."),
		kong.Vars{"version": version.String()},
	)
	lines := logging.NewWriter(os.Stdout)
	if err := logging.SetKlogOutput(lines, f.Verbose); err != nil {
		fmt.Fprintln(os.Stderr, "pearshelfd: verbosity not set:", err)
	}
	err := run(f, lines, hangups)
	klog.Flush()
	lines.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "pearshelfd:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if errs.KindOf(err) == errs.KindSettings {
		return exitSettings
	}
	return exitFailure
}

func run(f flags, lines *logging.Writer, hangups <-chan os.Signal) error {
	s, err := settings.Load(f.Settings)
	if err != nil || f.Check {
		return err
	}
	memory.LimitRuntime(s.MemoryBytes())
	d, err := newDaemon(s)
	if err != nil {
		return err
	}
	d.Metrics().RegisterDroppedLogLines(lines.Dropped)
	go reloadOnHangup(f.Settings, hangups)
	if err := d.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	return d.AwaitStop(signals)
}

// newDaemon makes a host of the kind of platform that the settings name.
func newDaemon(s *settings.Settings) (*daemon.Daemon, error) {
	if s.Platform.Kind == settings.PlatformStore {
		adapter := daemon.Adapter{Source: platform.NewSource(s.Platform.Address), Protocol: platform.Protocol()}
		return daemon.NewWithAdapter(s, daemon.Hooks{}, adapter)
	}
	return daemon.New(s, daemon.Hooks{})
}

// reloadOnHangup checks the settings again on each SIGHUP. What differs takes
// effect at the next start.
func reloadOnHangup(path string, hangups <-chan os.Signal) {
	for range hangups {
		if _, err := settings.Load(path); err != nil {
			klog.ErrorS(err, "settings refused; those in force stay", "path", path)
			continue
		}
		klog.InfoS("settings read again; they take effect at the next start", "path", path)
	}
}

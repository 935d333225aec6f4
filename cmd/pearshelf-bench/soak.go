package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pearshelf/pearshelf/experiment/soak"
)

type soakCommand struct {
	Duration time.Duration `help:"How long faults are injected for each seed." default:"20s"`
	Hosts    int           `help:"Daemons." default:"6"`
	Seeds    int           `help:"Number of seeds, from --seed on." default:"1"`
	Daemon   string        `help:"Path of pearshelfd; built from this tree if empty." type:"path"`
	Keep     string        `help:"Folder for settings and logs of failed seeds." type:"path" default:"soak-failures"`
}

// Run plays seed after seed and fails if a promise was broken.
func (c *soakCommand) Run(f *flags) error {
	dir, err := os.MkdirTemp("", "pearshelf-soak-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if c.Daemon == "" {
		c.Daemon = filepath.Join(dir, "pearshelfd")
		build := exec.Command("go", "build", "-o", c.Daemon, "./cmd/pearshelfd")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return fmt.Errorf("pearshelfd does not build here (run it in the repository or give --daemon): %w", err)
		}
	}
	// A run that is stopped ends its daemons. Those of a killed one go on calling addresses that later
	// runs use.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for seed := f.Seed; seed < f.Seed+uint64(c.Seeds); seed++ {
		ok, err := c.play(ctx, seed, dir)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise; settings and logs are in %s", failed, c.Seeds, c.Keep)
	}
	return nil
}

// play runs one seed and reports whether all promises held.
func (c *soakCommand) play(ctx context.Context, seed uint64, dir string) (bool, error) {
	logs := filepath.Join(dir, fmt.Sprint("seed-", seed))
	if err := os.Mkdir(logs, 0o755); err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, Length: c.Duration, Hosts: c.Hosts, Daemon: c.Daemon, Dir: logs, Progress: os.Stderr,
	})
	if err != nil {
		return false, errors.Join(err, c.keep(logs))
	}
	if ctx.Err() != nil {
		return false, fmt.Errorf("stopped during seed %d", seed)
	}
	fmt.Printf("seed %d: direct %t, %d requests, %d served, %d refused, %d servers ended, %d of %d served without a path, %d findings, faults %v\n",
		seed, report.Direct, report.Requests, report.Served, report.Refused, report.Ended, report.ServedAtCut, report.AtCut, len(report.Findings), report.Faults)
	for _, finding := range report.Findings {
		fmt.Printf("  %s: %s\n", finding.Rule, finding.Detail)
	}
	if len(report.Findings) == 0 {
		return true, os.RemoveAll(logs)
	}
	return false, c.keep(logs)
}

// keep copies a run's settings and logs to the folder of failed seeds.
func (c *soakCommand) keep(logs string) error {
	if err := os.MkdirAll(c.Keep, 0o755); err != nil {
		return err
	}
	return os.CopyFS(filepath.Join(c.Keep, filepath.Base(logs)), os.DirFS(logs))
}

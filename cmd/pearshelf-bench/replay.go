package main

import (
	"os"

	"github.com/pearshelf/pearshelf/experiment/replay"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
)

type replayCommand struct {
	Pattern string             `help:"A pattern of experiment/replay/patterns by name, or a file." default:"hangs"`
	Seeds   int                `help:"How many seeds, from --seed on." default:"3"`
	Without []policy.Mechanism `help:"Mechanisms of the policy to leave out."`
	Limits  replay.LimitWay    `help:"How rate limits that servers name are kept: home, the daemon's way, or to compare with none, equal or holders." enum:"home,none,equal,holders" default:"home"`
	Plot    string             `help:"Write a plot of the outcomes over time to this SVG file."`
}

// Run plays a pattern.
func (c *replayCommand) Run(f *flags) error {
	comparison, err := replay.Compare(c.Pattern, c.Seeds, replay.Config{Seed: f.Seed, Without: c.Without, Limits: c.Limits})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := c.plot(comparison); err != nil {
			return err
		}
	}
	if f.JSON {
		return printJSON(comparison)
	}
	return comparison.Table(os.Stdout)
}

func (c *replayCommand) plot(comparison *replay.Comparison) error {
	file, err := os.Create(c.Plot)
	if err != nil {
		return errs.Wrap(err, errs.KindSettings, "the plot cannot be written", "name a file that can be written with --plot")
	}
	if err := comparison.Plot(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

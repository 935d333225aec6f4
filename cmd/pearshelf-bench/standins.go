package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
	"github.com/pearshelf/pearshelf/standin/platform"
)

type standinsCommand struct {
	Platform string        `help:"Address of the platform, IP:port." default:"127.0.0.1:8600"`
	Shard    string        `help:"Shard document to publish; a backend server is started at each of its addresses." type:"existingfile" default:"examples/shard.yaml"`
	Service  time.Duration `help:"Mean service time." default:"25ms"`
}

// Run serves until a signal.
func (c *standinsCommand) Run() error {
	raw, err := os.ReadFile(c.Shard)
	if err != nil {
		return err
	}
	doc, err := config.ParseDocument(raw)
	if err != nil {
		return err
	}
	p, err := platform.Listen(c.Platform)
	if err != nil {
		return err
	}
	defer p.Close()
	if _, err := p.PutRawShard(fleet.Shard, raw); err != nil {
		return err
	}
	for _, svc := range doc.Services {
		for _, b := range svc.Backends {
			if err := c.serve(svc.Name, b); err != nil {
				return err
			}
		}
	}
	fmt.Println("platform at", p.URL(), "with", c.Shard)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

func (c *standinsCommand) serve(service string, b config.Backend) error {
	listener, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	backend.Serve(backend.Config{ID: service + "-" + b.ID, Slots: b.Slots, ServiceTime: c.Service, Seed: 1}, listener)
	return nil
}

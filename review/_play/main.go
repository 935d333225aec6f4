// Command play plays the cases of the review: it starts hosts with the commands of the deploy file, between
// stand-ins of the platform's store, of backend servers and of clients, all on loopback addresses, and checks one
// rule on what these have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// play is what a case needs.
type play struct {
	trouble bool
	seed    uint64
	folder  string // for settings and output of the hosts
	journal *journal
	fleet   atomic.Pointer[fleet] // once hosts are started
}

// maxLength bounds a case.
const maxLength = 115 * time.Second

// stopOnSignal ends the hosts and this program on a signal, or when the case takes too long.
func (p *play) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(maxLength):
	}
	if f := p.fleet.Load(); f != nil {
		f.stop()
	}
	fmt.Fprintln(os.Stderr, "the case was cut short")
	os.Exit(couldNot)
}

// verdict is the result of a case.
type verdict struct {
	lines  []string // what was counted
	broken []string // IDs of the requests that broke the rule
	isBad  bool
}

var cases = map[string]func(*play) (verdict, error){
	"late-answers":        lateAnswers,
	"large-configuration": largeConfiguration,
	"planned-stop":        plannedStop,
}

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disturbance")
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	keep := flag.String("keep", "", "folder for the output of the hosts, default: a temporary one that is removed")
	flag.Parse()
	os.Exit(run(*name, *record, *trouble, *seed, *keep))
}

func run(name, record string, trouble bool, seed uint64, folder string) int {
	chosen, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return couldNot
	}
	if folder == "" {
		temporary, err := os.MkdirTemp("", "play-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return couldNot
		}
		defer os.RemoveAll(temporary)
		folder = temporary
	}
	p := &play{trouble: trouble, seed: seed, folder: folder, journal: newJournal()}
	go p.stopOnSignal()
	v, err := chosen(p)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return couldNot
	}
	result := "the rule held"
	if v.isBad {
		result = "the rule was broken"
	}
	lines := append([]string{fmt.Sprintf("case %s, disturbance %v, %s: %s", name, trouble, time.Now().UTC().Format(time.RFC3339), result)}, v.lines...)
	for _, line := range lines {
		fmt.Println(line)
	}
	if err := p.journal.write(record, lines, v.broken); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if v.isBad {
		return broken
	}
	return held
}

// Command cmd runs the measurements for docs/CAPACITY.md. Run it from the root of
// the module: `go run ./internal/slopes/cmd feed agent`.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/slopes"
)

var parts = map[string]func(*slopes.Bench) error{
	"feed":     slopes.Feed,
	"rest":     slopes.Rest,
	"spread":   slopes.Spread,
	"losses":   slopes.Losses,
	"agent":    slopes.Agent,
	"entry":    slopes.Entry,
	"tokens":   slopes.Tokens,
	"calls":    slopes.Calls,
	"heap":     slopes.Heap,
	"queue":    slopes.Queue,
	"declared": slopes.Declared,
	"newcomer": slopes.Newcomer,
	"claims":   slopes.Claims,
	"control":  slopes.Control,
	"secured":  slopes.Secured,
	"served":   slopes.Served,
	"status":   slopes.Status,
}

type options struct {
	Window time.Duration `long:"window" default:"6s" description:"How long each point is measured."`
}

func main() {
	// The followers of "spread" and "losses" run, and log, in this process.
	logrus.SetLevel(logrus.ErrorLevel)
	var o options
	p := flags.NewParser(&o, flags.Default)
	p.Usage = "PART..."
	names, err := p.Parse()
	if err != nil {
		os.Exit(2)
	}
	var run []func(*slopes.Bench) error
	for _, n := range names {
		f, ok := parts[n]
		if !ok {
			fmt.Fprintf(os.Stderr, "no part %q\n", n)
			os.Exit(2)
		}
		run = append(run, f)
	}
	b := &slopes.Bench{Window: o.Window, Out: os.Stdout}
	if err := b.Run(run...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Command samphire-measure measures fleets of real processes at a small scale and
// writes docs/MEASUREMENTS.md, docs/measurements.json and plots.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/samphirefork/samphirefork/internal/measure"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "samphire-measure:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("samphire-measure", flag.ContinueOnError)
	opts := measure.Options{Out: os.Stdout}
	flags.StringVar(&opts.Bin, "bin", "bin", "folder of the binaries")
	flags.StringVar(&opts.Examples, "examples", "examples", "folder of the deployments' declarations")
	flags.StringVar(&opts.Docs, "docs", "docs", "folder of the results")
	flags.StringVar(&opts.Only, "only", "", "part to run alone: burst, jobs, share, urgent, maintenance, faults, changes or all")
	flags.StringVar(&opts.Deployment, "deployment", "", "deployment to run alone: carregaguia or khovd")
	render := flags.Bool("render", false, "measure nothing; write the page and the plots again from docs/measurements.json")
	keep := flags.Bool("keep", false, "keep the files of the run")
	if err := ff.Parse(flags, args); err != nil {
		return err
	}
	if *render {
		return measure.Render(opts.Docs)
	}
	dir, err := os.MkdirTemp("", "samphire-measure-")
	if err != nil {
		return err
	}
	opts.Dir = dir
	if *keep {
		fmt.Println("files:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return measure.Run(ctx, opts)
}

// Command samphire-demo starts a small fleet of real processes, injects faults, and
// prints how often each invariant was observed and how often it was violated.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/samphirefork/samphirefork/internal/demo"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "samphire-demo:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("samphire-demo", flag.ContinueOnError)
	bin := flags.String("bin", "bin", "folder of the binaries")
	examples := flags.String("examples", "examples/carregaguia", "folder of declarations")
	keep := flags.Bool("keep", false, "keep the files of the run")
	if err := ff.Parse(flags, args); err != nil {
		return err
	}
	dir, err := demo.TempDir()
	if err != nil {
		return err
	}
	if *keep {
		fmt.Println("files:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return demo.Run(ctx, demo.Options{Bin: *bin, Examples: *examples, Dir: dir, Out: os.Stdout})
}

// Command samphire-slopes measures how CPU time, memory use and bytes transferred of
// stores and entries grow with the size of a fleet on loopback. It writes the measured
// points and the fitted lines to a file, and keeps the points that the file already has
// for dimensions that were not measured.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/samphirefork/samphirefork/internal/slopes"
)

const runTimeout = 12 * time.Minute

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "samphire-slopes:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("samphire-slopes", flag.ContinueOnError)
	opts := slopes.Options{Out: os.Stdout}
	flags.StringVar(&opts.Bin, "bin", "bin", "folder of the binaries")
	flags.StringVar(&opts.Only, "only", "", "measure one dimension, such as workers or calls")
	flags.DurationVar(&opts.Settle, "settle", 3*time.Second, "time before the first window")
	flags.DurationVar(&opts.Window, "window", 4*time.Second, "length of a window")
	flags.IntVar(&opts.Windows, "windows", 2, "number of windows at each size")
	out := flags.String("out", "docs/capacity.json", "file of points and fits")
	if err := ff.Parse(flags, args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	report, failed := slopes.Run(ctx, opts)
	earlier, err := slopes.Load(*out)
	if err != nil {
		return err
	}
	report.Keep(earlier)
	if err := report.Save(*out); err != nil {
		return err
	}
	for _, f := range report.Fits {
		fmt.Printf("%-12s %-15s %-22s %12.5g + %12.5g (+- %.2g) per %s\n",
			f.Dimension, f.Role, f.Quantity, f.Intercept, f.Slope, f.SlopeError, f.Unit)
	}
	return failed
}

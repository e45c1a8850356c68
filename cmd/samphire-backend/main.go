// Command samphire-backend runs one simulated backend server.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/backendsim"
	"github.com/samphirefork/samphirefork/internal/history"
)

var errMissingFlag = errors.New("-instance, -service and -entries are required")

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "samphire-backend:", err)
		os.Exit(1)
	}
}

func run() error {
	var cfg backendsim.Config
	listen := flag.String("listen", "127.0.0.1:0", "address to serve on")
	entries := flag.String("entries", "", "addresses of entries, separated by commas")
	historyPath := flag.String("history", "", "path of the history file (JSON lines)")
	faults := flag.String("faults", "", "injected faults (JSON); PUT /faults replaces them")
	flag.StringVar(&cfg.Instance, "instance", "", "instance name")
	flag.StringVar(&cfg.Service, "service", "", "service name")
	flag.IntVar(&cfg.Slots, "slots", 8, "calls that run at once")
	flag.IntVar(&cfg.Connections, "connections", 64, "connections to announce")
	flag.DurationVar(&cfg.Mean, "mean", 10*time.Millisecond, "mean service time")
	flag.StringVar(&cfg.Distribution, "distribution", "exponential", "service time: fixed, uniform or exponential")
	flag.Uint64Var(&cfg.Seed, "seed", 1, "seed of service times and faults")
	flag.DurationVar(&cfg.Grace, "grace", 4*time.Second, "time to go on serving after the announcement of leaving")
	flag.Parse()
	if cfg.Instance == "" || cfg.Service == "" || *entries == "" {
		return errMissingFlag
	}
	cfg.Entries = strings.Split(*entries, ",")
	if *faults != "" {
		if err := json.Unmarshal([]byte(*faults), &cfg.Faults); err != nil {
			return errors.Wrap(err, "-faults")
		}
	}
	if *historyPath != "" {
		writer, err := history.NewWriter(*historyPath, cfg.Instance)
		if err != nil {
			return err
		}
		defer func() { _ = writer.Close() }()
		cfg.History = writer
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return errors.Wrap(err, "-listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return backendsim.New(cfg, listener).Run(ctx)
}

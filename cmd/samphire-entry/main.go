// Command samphire-entry runs one entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/entry"
	"github.com/samphirefork/samphirefork/internal/settings"
)

func main() {
	path := flag.String("config", "", "path of the settings file (JSON)")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "samphire-entry:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	var set settings.Entry
	if err := settings.Load(path, &set); err != nil {
		return err
	}
	if err := set.Validate(path); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	seed := uint64(time.Now().UnixNano())
	return entry.New(set, entry.Options{Log: newLog(set.LogLevel), Seed: seed}).Run(ctx)
}

func newLog(level string) zerolog.Logger {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return log.Level(parsed)
}

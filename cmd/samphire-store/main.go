// Command samphire-store runs one member of the replicated log.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/store"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := flag.NewFlagSet("samphire-store", flag.ContinueOnError)
	path := flags.String("config", "", "path of the JSON settings")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("SAMPHIRE_STORE")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	var cfg settings.Store
	if err := load(*path, &cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log := newLogger(cfg.Common)
	err := serve(cfg, log)
	if rejected := asSettingsError(*path, err); rejected != nil {
		fmt.Fprintln(os.Stderr, rejected)
		return exitSettings
	}
	if err != nil {
		log.Error().Err(err).Msg("store failed")
		return exitFailed
	}
	log.Info().Msg("store stopped")
	return 0
}

// asSettingsError names the setting when the data folder is in use or belongs
// to another member, and returns nil for other errors.
func asSettingsError(path string, err error) error {
	var wrong *store.ErrWrongMember
	var replaced *store.ErrReplacedMember
	switch {
	case errors.Is(err, disk.ErrLocked):
		return &settings.Error{File: path, Field: "data_folder", Reason: err.Error()}
	case errors.As(err, &wrong), errors.As(err, &replaced):
		return &settings.Error{File: path, Field: "id", Reason: err.Error()}
	default:
		return nil
	}
}

func load(path string, cfg *settings.Store) error {
	if err := settings.Load(path, cfg); err != nil {
		return err
	}
	if _, err := zerolog.ParseLevel(cfg.LogLevel); err != nil {
		return &settings.Error{File: path, Field: "log_level", Reason: err.Error()}
	}
	return cfg.Validate(path)
}

func newLogger(c settings.Common) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil || c.LogLevel == "" {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().
		Str("instance", c.Instance).Str("data_centre", c.DataCentre).Logger()
}

func serve(cfg settings.Store, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	registry := metrics.NewRegistry()
	node, err := store.Open(cfg, store.Options{Machine: store.NewFleetMachine(), Log: log, Metrics: registry})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		node.Close()
		return errors.Wrap(err, "listen")
	}
	log.Info().Uint64("member", cfg.ID).Str("listen", cfg.Listen).Msg("store started")
	return store.NewServer(node, registry, log).Run(ctx, listener)
}

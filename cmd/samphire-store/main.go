// Command samphire-store runs one member of the replicated log.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/control"
	"github.com/samphirefork/samphirefork/internal/controller"
	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/dispatch"
	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/intake"
	"github.com/samphirefork/samphirefork/internal/ledger"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/store"
)

const (
	// stepLease is how long a worker may go on running step tasks without an answer
	// from the leader. It covers a core that is unavailable for nine seconds.
	stepLease = 10 * time.Second
	// stepJobRetention is how long the record of an ended step job is kept.
	stepJobRetention = 10 * time.Minute
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
	initialize := flags.Bool("init", false, "create the data folder of a new fleet's member, and exit")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("SAMPHIRE_STORE")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	var cfg settings.Store
	if err := load(*path, &cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log := cfg.NewLogger()
	action := serve
	if *initialize {
		action = initializeDataFolder
	}
	err := action(cfg, log)
	if settingsErr := asSettingsError(*path, err); settingsErr != nil {
		fmt.Fprintln(os.Stderr, settingsErr)
		return exitSettings
	}
	if err != nil {
		log.Error().Err(err).Msg("store failed")
		return exitFailed
	}
	log.Info().Msg("store stopped")
	return 0
}

// asSettingsError returns a *settings.Error that names the setting at fault if the data
// folder is in use, has no log, or does not belong to this member. It returns nil for
// other errors.
func asSettingsError(path string, err error) error {
	var wrong *store.ErrWrongMember
	var replaced *store.ErrReplacedMember
	var none *store.ErrNoLog
	switch {
	case errors.Is(err, disk.ErrLocked):
		return &settings.Error{File: path, Field: "data_folder", Reason: err.Error()}
	case errors.As(err, &none):
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
	return cfg.Validate(path)
}

// initializeDataFolder creates the log and the request ledger in the data folder of a
// member of a new fleet.
func initializeDataFolder(cfg settings.Store, log zerolog.Logger) error {
	node, err := store.Open(cfg, store.Options{Machine: store.NewFleetMachine(), Log: log, Metrics: metrics.NewRegistry(), Initialize: true})
	if err != nil {
		return err
	}
	node.Close()
	requestLedger, err := ledger.Open(ledgerPath(cfg), ledger.Options{FirstStart: true})
	if err != nil {
		return err
	}
	return requestLedger.Close()
}

func ledgerPath(cfg settings.Store) string {
	return filepath.Join(cfg.DataFolder, "ledger")
}

func serve(cfg settings.Store, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	registry := metrics.NewRegistry()
	node, err := store.Open(cfg, store.Options{Machine: store.NewFleetMachine(), Log: log, Metrics: registry})
	if err != nil {
		return err
	}
	requestLedger, err := ledger.Open(ledgerPath(cfg), ledger.Options{})
	if err != nil {
		node.Close()
		return err
	}
	listener, err := httpserver.Listen(cfg.Listen, httpserver.ProcessLimits())
	if err != nil {
		node.Close()
		return errors.Wrap(err, "listen")
	}
	leader := control.NewServer(node, control.Options{Members: node.Members})
	controllers := controller.New(node, controller.Options{
		Policies: cfg.Policies,
		Seed:     int64(cfg.ID),
		Logger:   log,
		JobUnits: leader.JobUnits,
	})
	dispatcher := dispatch.New(node, dispatch.Settings{
		Lease: stepLease, JobRetention: stepJobRetention, Holder: cfg.Instance, Planning: cfg.Planning,
	}, nil, nil, registry, log)
	intakeServer := intake.NewServer(node, dispatcher.Wake, intake.DefaultMaxActiveBytes, registry, log)
	log.Info().Uint64("member", cfg.ID).Str("listen", cfg.Listen).Msg("store started")
	return store.NewServer(node, nil, registry, log, requestLedger, controllers, leader, dispatch.WorkerHandler{Dispatcher: dispatcher}, intakeServer).Run(ctx, listener)
}

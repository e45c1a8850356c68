// Command samphire-worker runs a simulated worker of the platform for the demo, the
// measurements and the tests.
package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/simworker"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(os.Args[1:], log); err != nil {
		log.Fatal().Err(err).Msg("worker failed")
	}
}

func run(args []string, log zerolog.Logger) error {
	flags := flag.NewFlagSet("samphire-worker", flag.ContinueOnError)
	path := flags.String("config", "", "path of the JSON settings")
	if err := ff.Parse(flags, args); err != nil {
		return err
	}
	var cfg simworker.Config
	if err := settings.Load(*path, &cfg); err != nil {
		return err
	}
	if err := settings.CheckAddress(*path, "listen", cfg.Listen); err != nil {
		return err
	}
	var writer *history.Writer
	if cfg.History != "" {
		var err error
		if writer, err = history.NewWriter(cfg.History, cfg.Instance); err != nil {
			return err
		}
		defer func() { _ = writer.Close() }()
	}
	return serve(cfg, writer, log)
}

func serve(cfg simworker.Config, writer *history.Writer, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if cfg.Steps != nil {
		simworker.NewStepWorker(cfg, log).Run(ctx)
		return nil
	}
	worker := simworker.New(cfg, writer, log)
	srv := &http.Server{Addr: cfg.Listen, Handler: worker.Handler()}
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- srv.ListenAndServe()
		stop()
	}()
	worker.Run(ctx)
	select {
	case err := <-serveErr:
		return err
	default:
	}
	shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return srv.Shutdown(shutdown)
}

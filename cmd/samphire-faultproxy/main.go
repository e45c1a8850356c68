// Command samphire-faultproxy forwards TCP connections between processes of a
// test fleet and injects network faults between zones.
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

	"github.com/samphirefork/samphirefork/internal/faultproxy"
	"github.com/samphirefork/samphirefork/internal/settings"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(os.Args[1:]); err != nil {
		log.Fatal().Err(err).Msg("fault proxy failed")
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("samphire-faultproxy", flag.ContinueOnError)
	path := flags.String("config", "", "path of the JSON settings")
	if err := ff.Parse(flags, args); err != nil {
		return err
	}
	var cfg faultproxy.Config
	if err := settings.Load(*path, &cfg); err != nil {
		return err
	}
	proxy, err := faultproxy.New(cfg)
	if err != nil {
		return err
	}
	closeLinks, err := proxy.Listen(cfg.Links)
	if err != nil {
		return err
	}
	defer closeLinks()
	return serveUntilSignal(&http.Server{Addr: cfg.Control, Handler: proxy.ControlHandler()})
}

func serveUntilSignal(srv *http.Server) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.ListenAndServe() }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return srv.Shutdown(shutdown)
}

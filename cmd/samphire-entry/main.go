// Command samphire-entry runs one entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/samphirefork/samphirefork/internal/entry"
	"github.com/samphirefork/samphirefork/internal/operator"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/workerlink"
)

func main() {
	path := flag.String("config", "", "path of the settings file (JSON)")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "samphire-entry:", err)
		os.Exit(1)
	}
}

func run(file string) error {
	var set settings.Entry
	if err := settings.Load(file, &set); err != nil {
		return err
	}
	if err := set.Validate(file); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	seed := uint64(time.Now().UnixNano())
	log := set.NewLogger()
	e := entry.New(set, entry.Options{Log: log, Seed: seed})
	workers := workerlink.NewManager(set.Instance, e.Leader(), workerlink.HTTPOrderSender{Client: &http.Client{}}, log)
	workers.Mount(e.Echo())
	e.OnBackendAnnouncement(workers.AnnounceBackend)
	path, handler := operator.NewHandler(e.Leader(), operator.Options{Token: set.OperatorToken, KeySecret: []byte(set.SharedSecret)})
	e.Echo().Any(path+"*", echo.WrapHandler(handler))
	return serve(ctx, e, workers)
}

// serve runs the workers' sessions as long as the entry serves, also while it
// finishes its requests in flight.
func serve(ctx context.Context, e *entry.Entry, workers *workerlink.Manager) error {
	sessions, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { workers.Run(sessions) })
	err := e.Run(ctx)
	end()
	running.Wait()
	return err
}

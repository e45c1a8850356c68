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

	"github.com/samphirefork/samphirefork/internal/api"
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

func run(settingsPath string) error {
	var set settings.Entry
	if err := settings.Load(settingsPath, &set); err != nil {
		return err
	}
	if err := set.Validate(settingsPath); err != nil {
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
	options := operator.Options{Token: set.OperatorToken, KeySecret: []byte(set.SharedSecret)}
	operatorPath, handler := operator.NewHandler(e.Leader(), options)
	e.Echo().Any(operatorPath+"*", echo.WrapHandler(handler))
	e.Echo().Any(api.PathOperatorStalled, echo.WrapHandler(operator.NewStalledHandler(e.Leader(), options)))
	e.Echo().Any(api.PathOperatorWhere, echo.WrapHandler(operator.NewWhereHandler(e.Leader(), options)))
	return serve(ctx, e, workers)
}

// serve runs the entry until ctx is done and its in-flight requests have finished. The
// worker sessions run until then, too.
func serve(ctx context.Context, e *entry.Entry, workers *workerlink.Manager) error {
	sessionsCtx, stopSessions := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { workers.Run(sessionsCtx) })
	err := e.Run(ctx)
	stopSessions()
	wg.Wait()
	return err
}

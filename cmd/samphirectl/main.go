// Command samphirectl operates a samphirefork fleet.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"os/signal"
	"syscall"

	"github.com/samphirefork/samphirefork/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := ctl.Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, NewID: newID}
	os.Exit(ctl.Run(ctx, os.Args[1:], env))
}

// newID returns 128 random bits; crypto/rand.Read never fails.
func newID() string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

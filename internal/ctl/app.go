// Package ctl is the operators' command line of samphirefork. It holds no state
// of its own: every change carries a request identifier, so a command whose
// answer was lost is sent again until its answer is known or the time is up.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Environment variables that stand in for flags.
const (
	EnvEntry    = "SAMPHIRE_ENTRY"
	EnvToken    = "SAMPHIRE_TOKEN"
	EnvOperator = "SAMPHIRE_OPERATOR"
	EnvKey      = "SAMPHIRE_KEY"
)

const (
	defaultTimeout  = 30 * time.Second
	defaultOperator = "operator"
	formatTable     = "table"
	formatJSON      = "json"
)

// Env is what the command line takes from its surroundings.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	// NewID returns a fresh request identifier.
	NewID func() string
}

// app holds the common flags and the surroundings of one run.
type app struct {
	env      Env
	entries  string
	token    string
	operator string
	format   string
	timeout  time.Duration
}

// Run executes the command line and returns its exit code.
func Run(ctx context.Context, args []string, env Env) int {
	a := &app{env: env}
	root := a.root()
	err := root.Parse(args)
	if err == nil {
		err = a.checkFlags()
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return a.fail(err)
}

func (a *app) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "samphirectl",
		ShortUsage: "samphirectl [flags] <command> [flags] [arguments]",
		ShortHelp:  "Operates a samphirefork fleet.",
		LongHelp:   rootHelp,
		FlagSet:    a.flagSet("samphirectl"),
		Exec:       needCommand,
		Subcommands: []*ffcli.Command{
			a.validateCommand(),
			a.planCommand(),
			a.applyCommand(),
			a.statusCommand(),
			a.auditCommand(),
			a.drainCommand(),
			a.maintenanceCommand(),
			a.keyCommand(),
			a.jobCommand(),
			a.stepsCommand(),
			a.memberCommand(),
			a.lostCommand(),
			a.snapshotCommand(),
			a.explainCommand(),
		},
	}
}

const rootHelp = `Flags of the root command may also follow the sub-command.

EXIT CODES
  0  done
  1  refused or invalid; nothing was changed
  2  wrong usage
  3  conflict: the revision moved on, or the request identifier was used for something else
  4  the change may have been carried out, or is accepted and not yet known to be in force
  5  unavailable; nothing was changed

EXAMPLES
  samphirectl validate -f examples/carregaguia
  samphirectl -entry 127.0.0.1:8080 plan -f examples/carregaguia
  samphirectl -entry 127.0.0.1:8080,127.0.0.1:8081 apply -f examples/carregaguia
  samphirectl status -o json

ENVIRONMENT
  SAMPHIRE_ENTRY, SAMPHIRE_TOKEN, SAMPHIRE_OPERATOR and SAMPHIRE_KEY stand in for
  -entry, -token, -operator and -key.`

// flagSet returns a flag set with the common flags. Several sets share the
// variables, so that a flag may stand before or after the sub-command.
func (a *app) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.env.Stderr)
	fs.StringVar(&a.entries, "entry", "", "addresses of entry instances, separated by commas, tried in turn")
	fs.StringVar(&a.token, "token", "", "operator token")
	fs.StringVar(&a.operator, "operator", "", "name for the audit trail (default \"operator\")")
	fs.StringVar(&a.format, "o", formatTable, "output format: table or json")
	fs.DurationVar(&a.timeout, "timeout", defaultTimeout, "time for the whole command, with resends")
	return fs
}

// checkFlags fills in the environment and rejects unusable values.
func (a *app) checkFlags() error {
	a.entries = a.orEnv(a.entries, EnvEntry)
	a.token = a.orEnv(a.token, EnvToken)
	a.operator = a.orEnv(a.operator, EnvOperator)
	if a.operator == "" {
		a.operator = defaultOperator
	}
	if a.format != formatTable && a.format != formatJSON {
		return usage("-o %s: expected table or json", a.format)
	}
	if a.timeout <= 0 {
		return usage("-timeout %v: expected a positive duration", a.timeout)
	}
	return nil
}

func (a *app) orEnv(value, name string) string {
	if value == "" {
		return a.env.Getenv(name)
	}
	return value
}

// progress prints a line for the person at the terminal; results go to Stdout.
func (a *app) progress(format string, args ...any) {
	fmt.Fprintf(a.env.Stderr, format+"\n", args...)
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.env.Stdout, format, args...)
}

// needCommand is the action of a command that only groups sub-commands.
func needCommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usage("unknown command %q; -h lists the commands", strings.Join(args, " "))
	}
	return usage("a command is missing; -h lists the commands")
}

// oneArg returns the only argument of a command.
func oneArg(args []string, what string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", usage("expected one argument: %s", what)
	}
	return args[0], nil
}

func noArgs(args []string) error {
	if len(args) > 0 {
		return usage("unexpected arguments: %s", strings.Join(args, " "))
	}
	return nil
}

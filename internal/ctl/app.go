// Package ctl implements samphirectl, the command line with which operators
// manage a samphirefork fleet. It keeps no state between runs. Every change
// carries a request identifier, so that it can be sent again safely when its
// answer was lost; this is repeated until the outcome is known or the time limit
// of the command (-timeout, 30 s by default) is reached.
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

// Environment variables that supply a flag that is not set: -entry, -token and
// -operator, and -key of the job and steps commands.
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

// Env holds the process environment of a command. All fields are required.
type Env struct {
	// Stdout receives the results.
	Stdout io.Writer
	// Stderr receives progress lines, errors and help texts.
	Stderr io.Writer
	// Getenv returns the value of an environment variable, or "" when it is unset.
	Getenv func(string) string
	// NewID returns a new, unique string from which request identifiers are made.
	NewID func() string
}

// app holds the environment and the common flags of one run.
type app struct {
	env      Env
	entries  string
	token    string
	operator string
	format   string
	timeout  time.Duration
}

// Run executes the command given by args, without the program name, and returns
// the exit code of the process, one of the Exit constants. It prints errors to
// env.Stderr. When ctx ends, the command stops waiting and sends nothing more.
func Run(ctx context.Context, args []string, env Env) int {
	a := &app{env: env}
	root := a.rootCommand()
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
	return a.reportError(err)
}

func (a *app) rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "samphirectl",
		ShortUsage: "samphirectl [flags] <command> [flags] [arguments]",
		ShortHelp:  "Operates a samphirefork fleet.",
		LongHelp:   rootHelp,
		FlagSet:    a.flagSet("samphirectl"),
		Exec:       requireSubcommand,
		Subcommands: []*ffcli.Command{
			a.validateCommand(),
			a.planCommand(),
			a.applyCommand(),
			a.statusCommand(),
			a.auditCommand(),
			a.drainCommand(),
			a.maintenanceCommand(),
			a.evacuateCommand(),
			a.keyCommand(),
			a.jobCommand(),
			a.stepsCommand(),
			a.stalledCommand(),
			a.whereCommand(),
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

// flagSet returns a flag set with the common flags. All flag sets share the
// variables, so that a flag may precede or follow the sub-command.
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

// checkFlags takes missing values from the environment variables and rejects
// invalid ones.
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

// progress prints a status line to Stderr, apart from the results on Stdout.
func (a *app) progress(format string, args ...any) {
	fmt.Fprintf(a.env.Stderr, format+"\n", args...)
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.env.Stdout, format, args...)
}

// requireSubcommand is the Exec function of a command that only groups
// sub-commands. It always returns a usage error.
func requireSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usage("unknown command %q; -h lists the commands", strings.Join(args, " "))
	}
	return usage("a command is missing; -h lists the commands")
}

// oneArg returns the single argument of a command, or a usage error that calls
// the expected argument what.
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

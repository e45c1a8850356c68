package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	defaultWatchInterval = time.Second
	minWatchInterval     = 200 * time.Millisecond
	// clearScreen moves the cursor to the upper left corner and clears the terminal.
	clearScreen = "\x1b[H\x1b[2J"
)

// stalledQuery is one request for stalled work.
type stalledQuery struct {
	queue  string
	reason string
	// key selects the work of the key's team. Without a key the operator token is used,
	// and the work of all teams is shown.
	key string
}

func (a *app) stalledCommand() *ffcli.Command {
	fs := a.flagSet("stalled")
	q := stalledQuery{}
	fs.StringVar(&q.queue, "queue", "", "show only this queue")
	fs.StringVar(&q.reason, "reason", "", "show only this reason")
	fs.StringVar(&q.key, "key", "", "key of a team; shows the work of that team instead of all teams")
	watch := fs.Bool("watch", false, "repeat until interrupted, and redraw the table")
	interval := fs.Duration("interval", defaultWatchInterval, "time between two repetitions of -watch")
	return &ffcli.Command{
		Name:       "stalled",
		ShortUsage: "samphirectl stalled [-queue QUEUE] [-reason REASON] [-key KEY] [-watch] [-o json]",
		ShortHelp:  "Shows the work that makes no progress, why, since when, and what would free it.",
		LongHelp:   "REASONS\n  " + strings.Join(reasonNames(), "\n  ") + "\n\nEXAMPLES\n  samphirectl stalled -reason team_limit\n  samphirectl stalled -watch -interval 2s",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if q.reason != "" && !slices.Contains(reasonNames(), q.reason) {
				return usage("-reason %q is not one of %s", q.reason, strings.Join(reasonNames(), ", "))
			}
			if *interval < minWatchInterval {
				return usage("-interval %s is shorter than %s", *interval, minWatchInterval)
			}
			q.key = a.orEnv(q.key, EnvKey)
			if !*watch {
				return a.showStalled(ctx, q, "")
			}
			return a.watchStalled(ctx, q, *interval)
		},
	}
}

func reasonNames() []string {
	var names []string
	for _, reason := range stall.Reasons() {
		names = append(names, string(reason))
	}
	return names
}

// watchStalled shows the stalled work again and again until ctx ends. A failed request is
// shown instead of the table and does not end the command.
func (a *app) watchStalled(ctx context.Context, q stalledQuery, interval time.Duration) error {
	prefix := clearScreen
	if a.format == formatJSON {
		prefix = ""
	}
	for {
		if err := a.showStalled(ctx, q, prefix); err != nil && ctx.Err() == nil {
			var failure *Error
			if !errors.As(err, &failure) || failure.Exit != ExitUnavailable {
				return err
			}
			a.printf("%s%v\n", prefix, err)
		}
		if !wait.For(ctx, interval) {
			return nil
		}
	}
}

// showStalled requests the stalled work once and prints it after prefix.
func (a *app) showStalled(ctx context.Context, q stalledQuery, prefix string) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	list, err := query(ctx, a, func(ctx context.Context, t target) (api.StalledList, error) { return a.requestStalled(ctx, t, q) })
	if err != nil {
		return err
	}
	a.printf("%s", prefix)
	if a.format == formatJSON {
		return a.printJSON(list)
	}
	a.printStalled(list)
	return nil
}

func (a *app) requestStalled(ctx context.Context, t target, q stalledQuery) (api.StalledList, error) {
	var list api.StalledList
	path := api.PathOperatorStalled
	if q.key != "" {
		path = api.PathStalled
	}
	params := url.Values{"queue": {q.queue}, "reason": {q.reason}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.base+path+"?"+params.Encode(), nil)
	if err != nil {
		return list, usage("%v", err)
	}
	if q.key != "" {
		req.Header.Set(api.HeaderKey, q.key)
	} else {
		req.Header.Set("Authorization", "Bearer "+a.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxJobAnswerBytes))
	if err != nil {
		return list, err
	}
	if resp.StatusCode == http.StatusOK {
		return list, errors.Wrap(json.Unmarshal(data, &list), "decode the stalled work")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return list, errors.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return list, refusedf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(data)))
}

func (a *app) printStalled(list api.StalledList) {
	var rows [][]string
	for _, s := range list.Stalled {
		rows = append(rows, []string{
			s.Queue, s.Team, s.Job, strconv.Itoa(s.Occurrence), strconv.Itoa(s.Step), strconv.Itoa(s.Tasks),
			(time.Duration(s.StalledMS) * time.Millisecond).Round(100 * time.Millisecond).String(), string(s.Reason), s.Detail, s.Remedy,
		})
	}
	a.table([]string{"QUEUE", "TEAM", "JOB", "OCCURRENCE", "STEP", "TASKS", "FOR", "REASON", "DETAIL", "FREED BY"}, rows)
	if list.Omitted > 0 {
		a.printf("%d more are not shown\n", list.Omitted)
	}
}

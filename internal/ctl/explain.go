package ctl

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

const (
	// maxLogLine is the maximum length of a log line in bytes. The longest lines
	// contain a list of fields.
	maxLogLine = 1 << 20
	// contextWindow is the time before the first and after the last line of a job in
	// which lines about leaders, stores and its workers are shown. It covers an
	// election and the time after which a worker that sends nothing is considered silent.
	contextWindow = 3 * time.Second
	timeLayout    = "15:04:05.000"
	gzipMagic     = "\x1f\x8b"
	standardInput = "-"
)

// logLine is one line of the structured log of a process.
type logLine struct {
	at       time.Time
	instance string
	message  string
	fields   map[string]any
}

func (a *app) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "samphirectl explain ID FILE...",
		ShortHelp:  "Prints the timeline of a request or job from the logs of any number of processes.",
		LongHelp: `The logs may be compressed by gzip, cut off, or have text before the JSON of a line;
a dash reads standard input. Lines on the workers of the job, and on leaders and
stores at that time, are shown with it.

EXAMPLES
  samphirectl explain 5c0e7a21d94b36f8 /var/log/samphirefork/*.jsonl`,
		FlagSet: a.flagSet("explain"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usage("expected an identifier and at least one log file")
			}
			lines, unparsed, err := readLogs(args[1:])
			if err != nil {
				return refusedf("%v", err)
			}
			shown := timeline(lines, args[0])
			if len(shown) == 0 {
				return refusedf("none of %d log lines mentions %s (%d more could not be read)", len(lines), args[0], unparsed)
			}
			return a.printTimeline(shown, unparsed)
		},
	}
}

func readLogs(files []string) (lines []logLine, unparsed int, err error) {
	for _, name := range files {
		data, err := readLog(name)
		if err != nil {
			return nil, 0, err
		}
		scanner := bufio.NewScanner(bytes.NewReader(data))
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			if line, ok := parseLogLine(scanner.Bytes()); ok {
				lines = append(lines, line)
			} else if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
				unparsed++
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, 0, errors.Wrap(err, name)
		}
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	return lines, unparsed, nil
}

// readLog returns the content of a file, decompressed if it is in gzip format. Of
// a truncated gzip file it returns the part that can be decompressed.
func readLog(name string) ([]byte, error) {
	if name == standardInput {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(name)
	if err != nil || !bytes.HasPrefix(data, []byte(gzipMagic)) {
		return data, err
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	plain, err := io.ReadAll(reader)
	if err != nil && len(plain) == 0 {
		return nil, errors.Wrap(err, name)
	}
	return plain, nil
}

func parseLogLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber() // member identifiers exceed the integers that a float64 holds exactly
	if decoder.Decode(&l.fields) != nil {
		return logLine{}, false
	}
	l.message, _ = l.fields["message"].(string)
	l.instance, _ = l.fields["instance"].(string)
	at, _ := l.fields["time"].(string)
	var err error
	l.at, err = time.Parse(time.RFC3339Nano, at)
	for _, shown := range []string{"message", "instance", "time", "level", "data_centre"} {
		delete(l.fields, shown)
	}
	return l, err == nil
}

// timeline returns the lines that mention the identifier and, within contextWindow
// of them, the lines about the workers of its tasks and those about no single
// request or task. The lines must be sorted by time.
func timeline(lines []logLine, id string) []logLine {
	workers := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if !l.mentions(id) {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		if worker, ok := l.fields["worker"].(string); ok {
			workers[worker] = true
		}
	}
	var out []logLine
	for _, l := range lines {
		inWindow := !first.IsZero() && l.at.After(first.Add(-contextWindow)) && l.at.Before(last.Add(contextWindow))
		if l.mentions(id) || inWindow && l.isContextFor(workers) {
			out = append(out, l)
		}
	}
	return out
}

// mentions reports whether a field is the identifier, or a path or task identifier
// that contains it.
func (l *logLine) mentions(id string) bool {
	for _, v := range l.fields {
		text, ok := v.(string)
		if !ok {
			continue
		}
		isPart := func(r rune) bool { return r == '/' || r == '.' }
		if text == id || slices.Contains(strings.FieldsFunc(text, isPart), id) || strings.HasPrefix(text, id+".") {
			return true
		}
	}
	return false
}

// isContextFor reports whether the line is about one of the workers, or about the
// system as a whole and not about a single request, task or machine.
func (l *logLine) isContextFor(workers map[string]bool) bool {
	for _, field := range []string{"task", "job", "path", "machine", "host"} {
		if _, ok := l.fields[field]; ok {
			worker, _ := l.fields["worker"].(string)
			return field == "machine" && workers[worker]
		}
	}
	worker, ok := l.fields["worker"].(string)
	return !ok || workers[worker]
}

func (a *app) printTimeline(lines []logLine, unparsed int) error {
	if a.format == formatJSON {
		return a.printJSON(timelineJSON(lines))
	}
	var rows [][]string
	for _, l := range lines {
		rows = append(rows, []string{l.at.UTC().Format(timeLayout), l.instance, l.message, l.details()})
	}
	a.table([]string{"TIME", "INSTANCE", "EVENT", "DETAILS"}, rows)
	if unparsed > 0 {
		_, err := fmt.Fprintf(a.env.Stderr, "%d lines could not be read\n", unparsed)
		return err
	}
	return nil
}

func timelineJSON(lines []logLine) []map[string]any {
	var out []map[string]any
	for _, l := range lines {
		out = append(out, map[string]any{"time": l.at, "instance": l.instance, "event": l.message, "details": l.fields})
	}
	return out
}

func (l *logLine) details() string {
	var parts []string
	for name, v := range l.fields {
		parts = append(parts, fmt.Sprintf("%s=%v", name, v))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

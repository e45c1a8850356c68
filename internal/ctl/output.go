package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/samphirefork/samphirefork/internal/declare"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

// printMessage prints a message as indented JSON with the schema's field names.
// protojson deliberately varies its white space, so the output is reformatted to
// be stable.
func (a *app) printMessage(m proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode message as JSON")
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return errors.Wrap(err, "indent JSON output")
	}
	a.printf("%s\n", out.String())
	return nil
}

func (a *app) printJSON(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode JSON output")
	}
	a.printf("%s\n", raw)
	return nil
}

// table prints the header and the rows in aligned columns.
func (a *app) table(header []string, rows [][]string) {
	w := tabwriter.NewWriter(a.env.Stdout, 0, 8, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(w, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	_ = w.Flush()
}

// planView is the JSON output of the plan command.
type planView struct {
	Revision fleet.Revision     `json:"revision"`
	Items    []fleet.ChangeItem `json:"items"`
}

func (a *app) printPlan(current fleet.Config, items []fleet.ChangeItem) error {
	if a.format == formatJSON {
		return a.printJSON(planView{Revision: current.Revision, Items: items})
	}
	for _, it := range items {
		a.printf("%s\n", declare.Describe(current, it))
	}
	a.printf("%d changes to revision %d\n", len(items), current.Revision)
	return nil
}

// summariseConfig returns the number of entities of each kind as a line of text.
func summariseConfig(c fleet.Config) string {
	return fmt.Sprintf("%d data centres, %d instances, %d pools, %d teams, %d queues, %d services",
		len(c.DataCentres), len(c.Instances), len(c.Pools), len(c.Teams), len(c.Queues), len(c.Services))
}

// clusterTime formats cluster time as a duration since the start of the fleet log,
// or "-" for 0.
func clusterTime(t fleet.Time) string {
	if t == 0 {
		return "-"
	}
	return t.Sub(0).String()
}

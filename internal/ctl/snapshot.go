package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/operator/schema"
)

// maxSnapshotBytes limits how much of a server's stream is held in memory.
const maxSnapshotBytes = 256 << 20

func (a *app) snapshotCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "snapshot",
		ShortUsage: "samphirectl snapshot save|inspect",
		ShortHelp:  "Saves and inspects the operators' view of the fleet state.",
		LongHelp: `The document holds the configuration without key hashes, instance states, plans,
audit records and members, with a checksum. Jobs are counted by state.

EXAMPLES
  samphirectl snapshot save fleet.json
  samphirectl snapshot inspect fleet.json`,
		FlagSet:     a.flagSet("snapshot"),
		Exec:        requireSubcommand,
		Subcommands: []*ffcli.Command{a.snapshotSaveCommand(), a.snapshotInspectCommand()},
	}
}

func (a *app) snapshotSaveCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "save",
		ShortUsage: "samphirectl snapshot save FILE",
		ShortHelp:  "Writes a snapshot document to a file.",
		FlagSet:    a.flagSet("snapshot save"),
		Exec: func(ctx context.Context, args []string) error {
			file, err := oneArg(args, "the file to write")
			if err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.snapshotSave(ctx, file)
		},
	}
}

func (a *app) snapshotSave(ctx context.Context, file string) error {
	data, err := query(ctx, a, receiveSnapshot)
	if err != nil {
		return err
	}
	snap, err := schema.DecodeSnapshot(data)
	if err != nil {
		return refusedf("%v", err)
	}
	if err := writeFile(file, data); err != nil {
		return refusedf("%v", err)
	}
	a.printf("saved revision %d, %d bytes, to %s\n", snap.Revision, len(data), file)
	return nil
}

func receiveSnapshot(ctx context.Context, t target) ([]byte, error) {
	stream, err := t.rpc.Snapshot(ctx, connect.NewRequest(&samphireforkv1.SnapshotRequest{}))
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var buf bytes.Buffer
	for stream.Receive() {
		buf.Write(stream.Msg().GetData())
		if buf.Len() > maxSnapshotBytes {
			return nil, refusedf("snapshot exceeds %d bytes", maxSnapshotBytes)
		}
	}
	return buf.Bytes(), stream.Err()
}

// writeFile replaces the file atomically: after a crash, either the old content or
// the new content is there.
func writeFile(file string, data []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*.tmp")
	if err != nil {
		return errors.Wrap(err, "create temporary snapshot file")
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(data)
	if err == nil {
		err = tmp.Sync()
	}
	if cerr := tmp.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errors.Wrap(err, "write temporary snapshot file")
	}
	return errors.Wrap(os.Rename(tmp.Name(), file), "replace snapshot file")
}

func (a *app) snapshotInspectCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "inspect",
		ShortUsage: "samphirectl snapshot inspect FILE",
		ShortHelp:  "Checks a snapshot document and summarises it.",
		FlagSet:    a.flagSet("snapshot inspect"),
		Exec: func(_ context.Context, args []string) error {
			file, err := oneArg(args, "the file to read")
			if err != nil {
				return err
			}
			return a.snapshotInspect(file)
		},
	}
}

func (a *app) snapshotInspect(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return refusedf("%v", err)
	}
	snap, err := schema.DecodeSnapshot(data)
	if err != nil {
		return refusedf("%s: %v", file, err)
	}
	if a.format == formatJSON {
		return a.printJSON(snap)
	}
	a.printf("revision %d, term %d, applied %d, cluster time %s\n", snap.Revision, snap.Term, snap.Applied, clusterTime(snap.NowMS))
	a.printf("%s, %d keys\n", summariseConfig(snap.Config), len(snap.Config.Keys))
	a.printf("%d plans, %d audit records, %d members\n", len(snap.Plans), len(snap.Audit), len(snap.Members))
	return nil
}

// Package store runs one member of the replicated log: it drives the consensus
// core, the write-ahead log and the snapshots, and applies committed commands.
package store

import (
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/snap"
	"github.com/samphirefork/samphirefork/internal/wal"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	electionTicks          = 10
	defaultTick            = 50 * time.Millisecond
	defaultSnapshotEntries = 10_000
	// snapshotBytes bounds the commands between two snapshots, which the log also
	// keeps in memory: 10,000 payloads of 64 KiB would take 640 MB.
	snapshotBytes      = 8 << 20
	maxAppendBytes     = 1 << 20
	maxInflightAppends = 32
	snapshotChunkBytes = 1 << 20
	maxCommandBytes    = 3 << 20
	inboxMessages      = 4096
	maxPending         = 4096
	// receiveLogLinesPerSecond a second tell what is wrong with received messages; peers send 20 a second and more.
	receiveLogLinesPerSecond = 2
	proposalQueueLength = 256
)

// ErrCommandTooLarge refuses a command that does not fit into a frame.
var ErrCommandTooLarge = errors.New("store: command exceeds the size limit")

// ErrWrongMember is a data folder that belongs to another member.
type ErrWrongMember struct {
	Folder  string
	Found   uint64
	Configured uint64
}

// Error implements error.
func (e *ErrWrongMember) Error() string {
	return fmt.Sprintf("store: data folder %s belongs to member %d, but the settings name member %d", e.Folder, e.Found, e.Configured)
}

// ErrNoLog is an empty data folder of a member that should have a log.
type ErrNoLog struct {
	Folder string
}

// Error implements error.
func (e *ErrNoLog) Error() string {
	return fmt.Sprintf("store: data folder %s holds no log; start a new fleet with -init, or replace a member that lost its disk by one with a new id and join", e.Folder)
}

// credentials returns what the store shows to its peers.
func credentials(cfg settings.Store) wire.Credentials {
	return wire.Credentials{Instance: cfg.Instance, Secret: []byte(cfg.SharedSecret), LocalIP: wire.ListenIP(cfg.Listen)}
}

// ErrReplacedMember stops a store whose data folder was started anew under an
// identifier that the group knows from another data folder. Its promises were
// lost with the old folder, so it must join under a new identifier.
type ErrReplacedMember struct {
	ID uint64
}

// Error implements error.
func (e *ErrReplacedMember) Error() string {
	return fmt.Sprintf("store: the group knows member %d from another data folder; a store that lost its disk joins under a new id", e.ID)
}

// Options are the dependencies of a Node. Machine is required.
type Options struct {
	Machine Machine
	// FS is the file access; the operating system's by default.
	FS      disk.FS
	Log     zerolog.Logger
	Metrics metrics.Registry
	// Seed fixes the election timeouts; a random one by default.
	Seed uint64
	// Initialize starts a new log in an empty folder. Without it an empty folder
	// is taken for a lost disk and refused, unless the settings say join.
	Initialize bool
}

// Node is one member of the replicated log. It implements fleet.Log.
type Node struct {
	cfg settings.Store
	log zerolog.Logger
	// receiveLog is log for lines on single messages, bounded in number.
	receiveLog zerolog.Logger
	metrics     nodeMetrics
	started    time.Time
	// bootStarted is the start on the clock that counts suspended time.
	bootStarted int64
	init        bool

	lock    *disk.Lock
	wal     *wal.Log
	snaps   *snap.Folder
	core    *raft.Core
	network *network

	inbox     chan envelope
	proposals chan *proposal
	changes   chan *pendingChange
	persistRequests      chan persistRequest
	persisted chan persistResult
	snapshotSaved chan snapshotResult
	stopped   chan struct{}
	running   sync.WaitGroup
	snapMu    sync.Mutex

	incarnation uint64

	// The fields below belong to the loop.
	peerIncarnations      map[uint64]uint64
	incarnationsDirty bool
	replacedLogged     map[uint64]bool
	fatal      error
	pending    map[uint64]*proposal
	change     *pendingChange
	persisting bool
	// persistStarted is when the present write was handed to the disk.
	persistStarted int64
	// slowWriteLogged is true when the present write was logged as long.
	slowWriteLogged  bool
	savingSnapshot     bool
	trimTo     uint64
	applied    uint64
	snapshotIndex uint64
	// bytesSinceSnapshot is the size of the commands applied since snapshotAt, and
	// keepFrom the index of the snapshot before the one that is being saved.
	bytesSinceSnapshot  int
	retainFrom    uint64
	leadingTerm uint64
	leadership        leadership

	stateMu sync.RWMutex
	machine Machine
	changed chan struct{}

	view atomic.Pointer[view]
}

var _ fleet.Log = (*Node)(nil)

// Open locks the data folder, repairs a torn end of the log and restores the
// state. Run must follow, or Close.
func Open(cfg settings.Store, opts Options) (*Node, error) {
	setDefaults(&cfg, &opts)
	if err := opts.FS.MkdirAll(cfg.DataFolder); err != nil {
		return nil, errors.Wrap(err, "store: data folder")
	}
	lock, err := disk.LockFolder(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	n, err := open(cfg, opts)
	if err != nil {
		lock.Release()
		return nil, err
	}
	n.lock = lock
	return n, nil
}

func setDefaults(cfg *settings.Store, opts *Options) {
	if cfg.Tick == 0 {
		cfg.Tick = settings.Duration(defaultTick)
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = defaultSnapshotEntries
	}
	if cfg.Advertise == "" {
		cfg.Advertise = cfg.Listen
	}
	if opts.FS == nil {
		opts.FS = disk.OS{}
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
}

func open(cfg settings.Store, opts Options) (*Node, error) {
	n := &Node{
		cfg:        cfg,
		init:       opts.Initialize,
		log:        opts.Log,
		receiveLog: opts.Log.Sample(&zerolog.BurstSampler{Burst: receiveLogLinesPerSecond, Period: time.Second}),
		metrics:     newNodeMetrics(opts.Metrics),
		started:    time.Now(),
		inbox:      make(chan envelope, inboxMessages),
		proposals:  make(chan *proposal, proposalQueueLength),
		changes:    make(chan *pendingChange),
		persistRequests:       make(chan persistRequest, 1),
		persisted:  make(chan persistResult, 1),
		snapshotSaved:  make(chan snapshotResult, 1),
		stopped:    make(chan struct{}),
		pending:    map[uint64]*proposal{},
		replacedLogged:     map[uint64]bool{},
		machine:    opts.Machine,
		changed:    make(chan struct{}),
	}
	n.bootStarted = n.clock()
	restored, err := n.openDisk(opts.FS)
	if err != nil {
		return nil, err
	}
	n.applied, n.snapshotIndex = restored.Snapshot.Index, restored.Snapshot.Index
	n.core = raft.New(n.coreConfig(opts.Seed), restored)
	creds := credentials(cfg)
	n.network = newNetwork(cfg, n.incarnation, wire.NewPool(creds, n.Handle), n.metrics, n.log)
	n.network.setIncarnations(n.peerIncarnations)
	n.publishView()
	return n, nil
}

func (n *Node) coreConfig(seed uint64) raft.Config {
	if seed == 0 {
		seed = randomNumber()
	}
	return raft.Config{
		ID:             n.cfg.ID,
		ElectionTicks:  electionTicks,
		MinElection:    int64(n.minElection()),
		Now:            n.clock(),
		Rand:           rand.New(rand.NewPCG(seed, n.cfg.ID)),
		MaxAppendBytes: maxAppendBytes,
		MaxInflight:    maxInflightAppends,
		ChunkBytes:     snapshotChunkBytes,
	}
}

// randomNumber returns a number that is not zero.
func randomNumber() uint64 {
	var random [8]byte
	_, _ = crand.Read(random[:])
	return binary.BigEndian.Uint64(random[:]) | 1
}

// clock is the time since the start of the node, in nanoseconds. It counts the
// time in which the machine was suspended, which the monotonic clock does not: a
// leader that wakes must see at once that its lease has run out.
func (n *Node) clock() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return int64(time.Since(n.started))
	}
	return ts.Nano() - n.bootStarted
}

func (n *Node) minElection() time.Duration { return electionTicks * n.cfg.Tick.Std() }

// Close releases a node that is not run. Run does it by itself.
func (n *Node) Close() {
	n.network.close()
	if err := n.wal.Close(); err != nil {
		n.log.Warn().Err(err).Msg("the log was not closed cleanly")
	}
	n.lock.Release()
}

func (n *Node) openDisk(fs disk.FS) (raft.Restored, error) {
	walFolder := filepath.Join(n.cfg.DataFolder, "wal")
	snapFolder := filepath.Join(n.cfg.DataFolder, "snapshots")
	for _, folder := range []string{walFolder, snapFolder} {
		if err := fs.MkdirAll(folder); err != nil {
			return raft.Restored{}, errors.Wrap(err, "store: data folder")
		}
	}
	if err := fs.SyncFolder(n.cfg.DataFolder); err != nil {
		return raft.Restored{}, errors.Wrap(err, "store: sync data folder")
	}
	var err error
	if n.snaps, err = snap.Open(fs, snapFolder); err != nil {
		return raft.Restored{}, err
	}
	log, contents, err := wal.Open(walFolder, wal.Options{FS: fs})
	if err != nil {
		return raft.Restored{}, err
	}
	n.wal = log
	restored, err := n.restore(contents, walFolder)
	if err != nil {
		_ = log.Close()
	}
	return restored, err
}

// Package store runs one member of the replicated log. It connects the consensus core
// with the write-ahead log, the snapshots and the network, and applies committed
// commands to a state machine.
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
	// snapshotBytes bounds the commands between two snapshots, which the log also holds in
	// memory: 10,000 payloads of 64 KiB would take 640 MB.
	snapshotBytes = 8 << 20
	// maxInflightBytes bounds the entries on their way to one member, and so the delay of
	// the heartbeats behind them: 256 KiB take about 10 ms on a link of 200 Mbit/s.
	maxInflightBytes   = 256 << 10
	maxAppendBytes     = 128 << 10
	maxInflightAppends = 32
	snapshotChunkBytes = 256 << 10
	maxCommandBytes    = 3 << 20
	inboxMessages      = 4096
	maxPending         = 4096
	// receiveLogLinesPerSecond bounds the log lines about received messages. A peer sends
	// at least 20 messages a second.
	receiveLogLinesPerSecond = 2
	proposalQueueLength      = 256
)

// ErrCommandTooLarge is returned, wrapped, by Node.Propose for a command whose encoding
// exceeds 3 MiB, the limit that keeps it within a frame of package wire. It wraps
// fleet.ErrCommand.
var ErrCommandTooLarge = errors.WithMessage(fleet.ErrCommand, "store: command exceeds the size limit")

// ErrWrongMember reports a data folder that belongs to another member (Found) than the
// one in the settings (Configured).
type ErrWrongMember struct {
	Folder     string
	Found      uint64
	Configured uint64
}

// Error implements error.
func (e *ErrWrongMember) Error() string {
	return fmt.Sprintf("store: data folder %s belongs to member %d, but the settings configure member %d", e.Folder, e.Found, e.Configured)
}

// ErrNoLog reports a data folder without a log for a store that neither starts a new
// fleet nor joins one. Its log may have been lost.
type ErrNoLog struct {
	Folder string
}

// Error implements error.
func (e *ErrNoLog) Error() string {
	return fmt.Sprintf("store: data folder %s holds no log; start a new fleet with -init, or replace a member that lost its disk by one with a new id and join", e.Folder)
}

// credentials returns the credentials that the store presents to its peers.
func credentials(cfg settings.Store) wire.Credentials {
	return wire.Credentials{Instance: cfg.Instance, Secret: []byte(cfg.SharedSecret), LocalIP: wire.ListenIP(cfg.Listen)}
}

// ErrReplacedMember stops a store whose log was started again under an identifier that
// other members know with another data folder. The votes and acknowledgements in the
// previous folder are lost, so the store must join under a new identifier.
type ErrReplacedMember struct {
	ID uint64
}

// Error implements error.
func (e *ErrReplacedMember) Error() string {
	return fmt.Sprintf("store: other members know member %d with another data folder; a store that lost its disk must join under a new id", e.ID)
}

// Options are the dependencies of a Node. Only Machine is required.
type Options struct {
	// Machine is the state machine, in its initial state. Open restores it.
	Machine Machine
	// FS gives access to the data folder; the default is the file system of the host.
	FS disk.FS
	// Log receives the log lines of the node; the default discards them.
	Log zerolog.Logger
	// Metrics is where the node registers its metrics; the default is a new registry.
	Metrics metrics.Registry
	// Seed makes the random election timeouts reproducible; with 0 it is random.
	Seed uint64
	// Initialize allows Open to start a new log in an empty folder. Otherwise an empty
	// folder counts as a lost disk and Open returns *ErrNoLog, unless the settings say join.
	Initialize bool
}

// Node is one member of the replicated log. It implements fleet.Log. Its methods are
// safe for concurrent use, except Run and Close.
type Node struct {
	cfg settings.Store
	log zerolog.Logger
	// receiveLog is a rate-limited copy of log for lines about single messages and proposals.
	receiveLog zerolog.Logger
	metrics    nodeMetrics
	started    time.Time
	// bootStarted is the start of the node on CLOCK_BOOTTIME, in nanoseconds.
	bootStarted int64
	initialize  bool

	lock    *disk.Lock
	wal     *wal.Log
	snaps   *snap.Folder
	core    *raft.Core
	network *network

	inbox           chan envelope
	proposals       chan *proposal
	changes         chan *pendingChange
	persistRequests chan persistRequest
	persisted       chan persistResult
	snapshotSaved   chan snapshotResult
	stopped         chan struct{}
	running         sync.WaitGroup
	snapMu          sync.Mutex

	incarnation uint64

	// peerIncarnations maps other members to the incarnations that were recorded for them.
	peerIncarnations  map[uint64]uint64
	incarnationsDirty bool
	replacedLogged    map[uint64]bool
	fatal             error
	pending           map[uint64]*proposal
	change            *pendingChange
	persisting        bool
	// persistStarted is the clock at which the current write was passed to persistLoop.
	persistStarted int64
	// slowWriteLogged is true if the current write was logged as slow.
	slowWriteLogged bool
	// lateMembers holds the members whose answers to this leader are late.
	lateMembers    map[uint64]bool
	savingSnapshot bool
	trimTo         uint64
	applied        uint64
	// initialState is the encoded state of the machine before the first entry, and skipped
	// holds the entries since the newest snapshot at which the machine panicked.
	initialState  []byte
	skipped       map[uint64]bool
	snapshotIndex uint64
	// bytesSinceSnapshot is the size of the commands applied since snapshotIndex, and
	// retainFrom is the index of the snapshot before the one that is being written.
	bytesSinceSnapshot int
	retainFrom         uint64
	leadingTerm        uint64
	leadership         leadership

	stateMu sync.RWMutex
	machine Machine
	changed chan struct{}

	view atomic.Pointer[view]
}

var _ fleet.Log = (*Node)(nil)

// Open locks the data folder, truncates an incomplete last batch of the log, and
// restores the state from the newest valid snapshot and the log. The caller must then
// call Run or Close. Besides I/O errors it returns disk.ErrLocked if another process
// uses the folder, *ErrNoLog, *ErrWrongMember, or *wal.ErrCorrupt for a damaged log.
func Open(cfg settings.Store, opts Options) (*Node, error) {
	setDefaults(&cfg, &opts)
	if err := opts.FS.MkdirAll(cfg.DataFolder); err != nil {
		return nil, errors.Wrap(err, "store: create data folder")
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
		cfg:             cfg,
		initialize:      opts.Initialize,
		log:             opts.Log,
		receiveLog:      opts.Log.Sample(&zerolog.BurstSampler{Burst: receiveLogLinesPerSecond, Period: time.Second}),
		metrics:         newNodeMetrics(opts.Metrics),
		started:         time.Now(),
		inbox:           make(chan envelope, inboxMessages),
		proposals:       make(chan *proposal, proposalQueueLength),
		changes:         make(chan *pendingChange),
		persistRequests: make(chan persistRequest, 1),
		persisted:       make(chan persistResult, 1),
		snapshotSaved:   make(chan snapshotResult, 1),
		stopped:         make(chan struct{}),
		pending:         map[uint64]*proposal{},
		replacedLogged:  map[uint64]bool{},
		lateMembers:     map[uint64]bool{},
		skipped:         map[uint64]bool{},
		machine:         opts.Machine,
		changed:         make(chan struct{}),
	}
	n.bootStarted = n.clock()
	var err error
	if n.initialState, err = opts.Machine.Capture()(); err != nil {
		return nil, errors.Wrap(err, "store: encode initial state")
	}
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
		ID:                 n.cfg.ID,
		ElectionTicks:      electionTicks,
		MinElectionTimeout: int64(n.minElection()),
		Now:                n.clock(),
		Rand:               rand.New(rand.NewPCG(seed, n.cfg.ID)),
		MaxAppendBytes:     maxAppendBytes,
		MaxInflight:        maxInflightAppends,
		MaxInflightBytes:   maxInflightBytes,
		SnapshotChunkBytes: snapshotChunkBytes,
	}
}

// randomNumber returns a random number other than 0.
func randomNumber() uint64 {
	var random [8]byte
	_, _ = crand.Read(random[:])
	return binary.BigEndian.Uint64(random[:]) | 1
}

// clock returns the time since the start of the node in nanoseconds. Unlike the
// monotonic clock of package time it includes time in which the machine was
// suspended, so that a leader finds its lease expired as soon as the machine resumes.
func (n *Node) clock() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return int64(time.Since(n.started))
	}
	return ts.Nano() - n.bootStarted
}

func (n *Node) minElection() time.Duration { return electionTicks * n.cfg.Tick.Std() }

// Close releases the resources of a node whose Run was not called. Run releases them itself.
func (n *Node) Close() {
	n.network.close()
	if err := n.wal.Close(); err != nil {
		n.log.Warn().Err(err).Msg("closing the write-ahead log failed")
	}
	n.lock.Release()
}

func (n *Node) openDisk(fs disk.FS) (raft.PersistedState, error) {
	walFolder := filepath.Join(n.cfg.DataFolder, "wal")
	snapFolder := filepath.Join(n.cfg.DataFolder, "snapshots")
	for _, folder := range []string{walFolder, snapFolder} {
		if err := fs.MkdirAll(folder); err != nil {
			return raft.PersistedState{}, errors.Wrap(err, "store: create data folder")
		}
	}
	if err := fs.SyncFolder(n.cfg.DataFolder); err != nil {
		return raft.PersistedState{}, errors.Wrap(err, "store: sync data folder")
	}
	var err error
	if n.snaps, err = snap.Open(fs, snapFolder); err != nil {
		return raft.PersistedState{}, err
	}
	log, contents, err := wal.Open(walFolder, wal.Options{FS: fs})
	if err != nil {
		return raft.PersistedState{}, err
	}
	n.wal = log
	restored, err := n.restore(contents, walFolder)
	if err != nil {
		_ = log.Close()
	}
	return restored, err
}

package spread

import (
	"time"

	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Heartbeat is the leader's sign of life. Newer is by Term, then Seq.
type Heartbeat struct {
	Term uint64
	Seq  uint64
	// Version is the committed fleet version at the leader.
	Version uint64
}

// newer reports whether h follows o.
func (h Heartbeat) newer(o Heartbeat) bool {
	return h.Term > o.Term || (h.Term == o.Term && h.Seq > o.Seq)
}

// Lead is what a source that leads knows of its leadership.
type Lead struct {
	Term uint64
	// Version is the newest committed fleet version.
	Version uint64
	// Quorum is when the last round began in which a majority of the sources
	// had this term; zero if there was none.
	Quorum time.Time
}

// InForce counts the daemons of a subtree that have a version in force.
type InForce struct {
	Version uint64
	// Count is the number of daemons at Version or above.
	Count uint32
	// Sum is the sum of NodeHash over these daemons: with the names of the
	// fleet at hand it tells a whole count from one with doubles.
	Sum uint64
	// Laggards names a few daemons known to be below Version.
	Laggards []string
}

// Digest tells what its sender has. It goes over every link at each interval,
// and at once where it is needed.
type Digest struct {
	Version uint64
	// Hash is 0 when it was told lately.
	Hash      uint64
	Heartbeat Heartbeat
	// Depth is the number of hops from the leader to the sender.
	Depth uint32
	// InForce is the leader's count; set only towards children, when it changed
	// or was not told lately.
	InForce *InForce
	// Report is set only towards the parent, and makes the sender its child.
	Report *Report
	// Confirmed answers the receiver's Report.Ask.
	Confirmed *Confirmed
}

// Report is what a child tells its parent.
type Report struct {
	InForce InForce
	// Ask asks for the version committed at the leader; 0 asks nothing.
	Ask uint64
}

// Confirmed brings the version that was committed at the leader at some time
// after Ask was sent.
type Confirmed struct {
	Ask     uint64
	Version uint64
}

// Pull asks for everything after Version.
type Pull struct {
	Version uint64
	// Full asks for a snapshot, after a delta did not end in its hash.
	Full bool
	// Target and Offset ask for the next chunk of a transfer that leads to
	// version Target; Offset 0 begins a transfer.
	Target uint64
	Offset int
}

// Chunk is a packed delta or a piece of one.
type Chunk struct {
	// Version is where the delta leads.
	Version uint64
	// Size is the length in bytes of the whole; Data begins at Offset.
	Size   int
	Offset int
	Data   []byte
}

// Busy refuses a Pull: come back after a random part of After.
type Busy struct{ After time.Duration }

// Message is what spreads exchange; exactly one field is set.
type Message struct {
	Digest *Digest
	Chunk  *Chunk
	Pull   *Pull
	Busy   *Busy
}

// Action is what the driver must do; exactly one field is set.
type Action struct {
	// Send delivers a message to a linked node.
	Send *Send
	// Install is a new version to put in force; it is whole and compiled.
	Install *snapshot.Snapshot
	// Rejected tells of a message that could not be applied.
	Rejected error
	// Diverged tells of a node with other content under the same version: a
	// fault that must never happen. The own version is kept.
	Diverged *Diverged
	// Seek asks for further links: the leader has not been heard of for long.
	Seek bool
}

// Send delivers a message.
type Send struct {
	To      string
	Message Message
}

// Diverged is two contents under one version.
type Diverged struct {
	Node    string
	Version uint64
	// Own and Other are the hashes here and there.
	Own, Other uint64
}

// Confirmation tells how the version in force here was found to be no older
// than one this daemon may have had before a restart.
type Confirmation uint8

// The confirmations.
const (
	// Unconfirmed: not yet; the daemon takes no requests.
	Unconfirmed Confirmation = iota
	// ByQuorum: the leader, acknowledged by a majority of the sources, was
	// asked after the start, and its version is in force here.
	ByQuorum
	// ByPeers: no leader was heard of for Config.OutageAfter; the highest
	// version among all linked daemons is in force here.
	ByPeers
)

// String returns the name shown in status.
func (c Confirmation) String() string {
	return [...]string{"unconfirmed", "quorum", "peers"}[c]
}

// Config is fixed for the life of a Core. Zero fields get the defaults.
type Config struct {
	// Self is the name of this node.
	Self string
	// Seed makes the drawn delays reproducible; it must differ between two
	// starts of one node, or an answer to the one could be taken by the other.
	Seed uint64
	// BeatInterval is the time between the leader's heartbeats.
	BeatInterval time.Duration
	// DigestInterval is the time between digests on a link.
	DigestInterval time.Duration
	// StaleAfter is how long the leader's heartbeat may be missed: two beats and the
	// way down the tree.
	StaleAfter time.Duration
	// SeekInterval is the least mean time between two requests of this daemon for
	// other links, SeekShare that of all daemons together: an outage of the sources
	// may last for hours, and its end has to be noticed at once by one of them.
	SeekInterval time.Duration
	SeekShare    time.Duration
	// ParentPatience is how long the parent may be behind on a heartbeat that
	// came by another link.
	ParentPatience time.Duration
	// PullAfter is how long a link other than the parent may be ahead before
	// the version is pulled over it.
	PullAfter time.Duration
	// PullTimeout bounds the wait for each answer to a pull.
	PullTimeout time.Duration
	// MergeWindow is the least time between two pushes; what is installed
	// meanwhile goes as one delta.
	MergeWindow time.Duration
	// OutageAfter is how long after its start a daemon waits for a leader
	// before it goes by its peers.
	OutageAfter time.Duration
	// BusyAfter is the bound of the delay that a refused pull is told.
	BusyAfter time.Duration
	// History and HistoryBytes bound the deltas kept for those behind.
	History      int
	HistoryBytes int
	// ChunkBytes bounds the delta bytes in one message.
	ChunkBytes int
	// StateBytes bounds a decoded delta or snapshot.
	StateBytes int
	// MaxTransfers bounds the chunked transfers served at a time.
	MaxTransfers int
}

// The defaults of Config.
const (
	DefaultBeatInterval   = time.Second
	DefaultDigestInterval = time.Second
	DefaultStaleAfter     = 2500 * time.Millisecond
	DefaultSeekInterval   = 500 * time.Millisecond
	DefaultSeekShare      = 100 * time.Millisecond
	DefaultParentPatience = 300 * time.Millisecond
	DefaultPullAfter      = 200 * time.Millisecond
	DefaultPullTimeout    = time.Second
	DefaultMergeWindow    = 50 * time.Millisecond
	DefaultOutageAfter    = 10 * time.Second
	DefaultBusyAfter      = time.Second
	DefaultHistory        = 1024
	DefaultHistoryBytes   = 2 << 20
	DefaultChunkBytes     = 64 << 10
	DefaultStateBytes     = 64 << 20
	DefaultMaxTransfers   = 4
)

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.BeatInterval, DefaultBeatInterval)
	orDefault(&c.DigestInterval, DefaultDigestInterval)
	orDefault(&c.StaleAfter, DefaultStaleAfter)
	orDefault(&c.SeekInterval, DefaultSeekInterval)
	orDefault(&c.SeekShare, DefaultSeekShare)
	orDefault(&c.ParentPatience, DefaultParentPatience)
	orDefault(&c.PullAfter, DefaultPullAfter)
	orDefault(&c.PullTimeout, DefaultPullTimeout)
	orDefault(&c.MergeWindow, DefaultMergeWindow)
	orDefault(&c.OutageAfter, DefaultOutageAfter)
	orDefault(&c.BusyAfter, DefaultBusyAfter)
	orDefault(&c.History, DefaultHistory)
	orDefault(&c.HistoryBytes, DefaultHistoryBytes)
	orDefault(&c.ChunkBytes, DefaultChunkBytes)
	orDefault(&c.StateBytes, DefaultStateBytes)
	orDefault(&c.MaxTransfers, DefaultMaxTransfers)
	return c
}

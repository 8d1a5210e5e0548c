package dissemination

import (
	"time"

	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Heartbeat is the periodic heartbeat of the leader. Heartbeats are ordered by Term, then Seq.
type Heartbeat struct {
	Term uint64
	Seq  uint64
	// Version is the fleet version committed at the leader.
	Version uint64
}

// newer reports whether h is newer than o.
func (h Heartbeat) newer(o Heartbeat) bool {
	return h.Term > o.Term || (h.Term == o.Term && h.Seq > o.Seq)
}

// Leadership describes the leadership of a source that is the leader.
type Leadership struct {
	Term uint64
	// Version is the newest committed fleet version.
	Version uint64
	// Quorum is the start time of the last round in which a majority of the sources
	// acknowledged this term; zero if there was none.
	Quorum time.Time
}

// InForce counts the daemons of a subtree that have a version in force.
type InForce struct {
	Version uint64
	// Count is the number of daemons at Version or above.
	Count uint32
	// Sum is the sum of NodeHash over these daemons. Comparing it with the sum over the
	// names of the fleet distinguishes a complete count from one that counts some daemons
	// twice.
	Sum uint64
	// Laggards names a few daemons known to be below Version.
	Laggards []string
}

// Digest summarizes the state of its sender. It is sent over every link once per interval,
// and earlier when needed.
type Digest struct {
	Version uint64
	// Hash is the hash of the installed state, or 0 if it was sent recently.
	Hash      uint64
	Heartbeat Heartbeat
	// Depth is the number of hops from the leader to the sender.
	Depth uint32
	// InForce is the leader's count. It is sent only to children, if it changed or was not
	// sent recently.
	InForce *InForce
	// Report is sent only to the parent and makes the sender its child.
	Report *Report
	// Confirmed answers the receiver's Report.Ask.
	Confirmed *Confirmed
	// Proof answers the receiver's Report.ProofAsk.
	Proof *Proof
}

// Report is sent by a child to its parent.
type Report struct {
	InForce InForce
	// Ask is the number of a query for the version committed at the leader; 0 means no
	// query.
	Ask uint64
	// ProofAsk is the number of a query for a proof that the sender's version is the newest; 0
	// means no query.
	ProofAsk uint64
}

// Confirmed contains a version that was committed at the leader at some time after the query
// Ask was sent.
type Confirmed struct {
	Ask     uint64
	Version uint64
}

// Pull requests all changes after Version.
type Pull struct {
	Version uint64
	// Full requests a snapshot. It is set after the result of a delta did not match its
	// hash.
	Full bool
	// Target and Offset request the next chunk of a transfer to version Target; Offset 0
	// starts a transfer.
	Target uint64
	Offset int
}

// Chunk is a packed delta or snapshot, or a part of one.
type Chunk struct {
	// Version is the version that results from applying the delta.
	Version uint64
	// Size is the total length in bytes; Data starts at Offset.
	Size   int
	Offset int
	Data   []byte
}

// Busy rejects a Pull. The receiver retries after a random part of After.
type Busy struct{ After time.Duration }

// Message is a message between two cores; exactly one field is set.
type Message struct {
	Digest *Digest
	Chunk  *Chunk
	Pull   *Pull
	Busy   *Busy
}

// Action is one step that the caller of Core must carry out; exactly one field is set.
type Action struct {
	// Send delivers a message to a linked node.
	Send *Send
	// Install is a complete, compiled version to put in force.
	Install *snapshot.Snapshot
	// Rejected is the error of a version that could not be applied, installed or packed.
	Rejected error
	// Diverged reports a node with different content under the same version, which must
	// never happen. This node keeps its own content.
	Diverged *Diverged
	// Seek requests another link, because no heartbeat arrived for Config.StaleAfter.
	Seek bool
}

// Send delivers a message to the linked node with the name To.
type Send struct {
	To      string
	Message Message
}

// Diverged describes two different contents under the same version.
type Diverged struct {
	Node    string
	Version uint64
	// Own and Other are the hashes of the content at this node and at Node.
	Own, Other uint64
}

// Confirmation is how it was confirmed that the version in force is no older than any version
// that this daemon may have had before a restart.
type Confirmation uint8

// Values of Confirmation.
const (
	// Unconfirmed means that the version is not confirmed yet; the daemon accepts no
	// requests.
	Unconfirmed Confirmation = iota
	// ByQuorum means that the leader, acknowledged by a majority of the sources, was
	// queried after the start, and that its version is in force.
	ByQuorum
	// ByPeers means that no heartbeat of a leader arrived for Config.OutageAfter, and that
	// the highest version among all linked daemons is in force.
	ByPeers
)

// String returns the name shown in status output.
func (c Confirmation) String() string {
	return [...]string{"unconfirmed", "quorum", "peers"}[c]
}

// Config is the configuration of a Core. It must not change after New. Zero fields are set to
// their defaults.
type Config struct {
	// Self is the name of this node.
	Self string
	// Seed makes the random delays reproducible. It must differ between two starts of a
	// node; otherwise the answer to a query from before a restart could be accepted after it.
	Seed uint64
	// HeartbeatInterval is the time between the leader's heartbeats.
	HeartbeatInterval time.Duration
	// DigestInterval is the time between digests on a link.
	DigestInterval time.Duration
	// StaleAfter is the time without a heartbeat of the leader after which the state is
	// stale: two heartbeat intervals plus the propagation delay of the tree.
	StaleAfter time.Duration
	// SeekInterval is the minimum mean time between two requests of this daemon for other
	// links, FleetSeekInterval that of all daemons together. An outage of the sources may
	// last for hours, and at least one daemon must notice its end immediately.
	SeekInterval      time.Duration
	FleetSeekInterval time.Duration
	// ParentLagTimeout is how long the parent may lack a heartbeat that another link has
	// delivered.
	ParentLagTimeout time.Duration
	// PullAfter is how long a linked node other than the parent must be ahead before its
	// version is pulled. While the tree of a new leader grows, it is at most MergeWindow.
	PullAfter time.Duration
	// PullTimeout bounds the wait for each response to a pull.
	PullTimeout time.Duration
	// MergeWindow is the minimum time between two pushes. Versions installed in between
	// are pushed as one delta.
	MergeWindow time.Duration
	// OutageAfter is how long after its start a daemon waits for a leader before it falls
	// back to the versions of its peers.
	OutageAfter time.Duration
	// BusyAfter is the upper bound of the retry delay sent in Busy.
	BusyAfter time.Duration
	// History and HistoryBytes bound the number and the bytes of the deltas kept for nodes
	// that are behind.
	History      int
	HistoryBytes int
	// ChunkBytes bounds the packed bytes in one message.
	ChunkBytes int
	// StateBytes bounds the size of a decoded delta or snapshot.
	StateBytes int
	// MaxTransfers bounds the number of chunked transfers served at the same time.
	MaxTransfers int
	// ProofInterval is the time between two queries for a proof that the installed version is
	// the newest one. 0 turns the proofs off.
	ProofInterval time.Duration
	// Clock returns a time that also advances while the instance is suspended. It is required
	// if ProofInterval is set.
	Clock func() time.Duration
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultDigestInterval    = time.Second
	DefaultStaleAfter        = 2500 * time.Millisecond
	DefaultSeekInterval      = 500 * time.Millisecond
	DefaultFleetSeekInterval = 100 * time.Millisecond
	DefaultParentLagTimeout  = 300 * time.Millisecond
	DefaultPullAfter         = 200 * time.Millisecond
	DefaultPullTimeout       = time.Second
	DefaultMergeWindow       = 50 * time.Millisecond
	DefaultOutageAfter       = 10 * time.Second
	DefaultBusyAfter         = time.Second
	DefaultHistory           = 1024
	DefaultHistoryBytes      = 2 << 20
	DefaultChunkBytes        = 64 << 10
	DefaultStateBytes        = 64 << 20
	DefaultMaxTransfers      = 4
)

// setDefault sets *v to def if it is zero.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.DigestInterval, DefaultDigestInterval)
	setDefault(&c.StaleAfter, DefaultStaleAfter)
	setDefault(&c.SeekInterval, DefaultSeekInterval)
	setDefault(&c.FleetSeekInterval, DefaultFleetSeekInterval)
	setDefault(&c.ParentLagTimeout, DefaultParentLagTimeout)
	setDefault(&c.PullAfter, DefaultPullAfter)
	setDefault(&c.PullTimeout, DefaultPullTimeout)
	setDefault(&c.MergeWindow, DefaultMergeWindow)
	setDefault(&c.OutageAfter, DefaultOutageAfter)
	setDefault(&c.BusyAfter, DefaultBusyAfter)
	setDefault(&c.History, DefaultHistory)
	setDefault(&c.HistoryBytes, DefaultHistoryBytes)
	setDefault(&c.ChunkBytes, DefaultChunkBytes)
	setDefault(&c.StateBytes, DefaultStateBytes)
	setDefault(&c.MaxTransfers, DefaultMaxTransfers)
	return c
}

package dissemination

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

// transfer is a response to a pull that is served to a linked node in several chunks.
type transfer struct {
	version uint64
	packed  []byte
	// lastUsed is when the last chunk was sent.
	lastUsed time.Time
}

// pull is the pull that this node has in progress; there is at most one.
type pull struct {
	from string
	// lastProgress is when the last chunk arrived or the pull started.
	lastProgress time.Time
	// version, size and data describe the chunks received so far.
	version uint64
	size    int
	data    []byte
}

// transferIdleTimeouts is the number of pull timeouts after which an idle transfer is dropped.
const transferIdleTimeouts = 4

// push sends each child the changes that it lacks. If a child has no version or is too far
// behind, or the delta is too large for one message, the child gets a digest instead and pulls.
func (c *Core) push() {
	c.pushPending = false
	c.lastPush = c.now
	for _, l := range c.links {
		if !l.child || l.diverged || l.sentVersion >= c.state.Version {
			continue
		}
		if packed, ok := c.pushable(l.sentVersion); ok {
			l.sentVersion = c.state.Version
			c.sendComplete(l, packed)
			continue
		}
		l.digestDue = true
	}
}

// pushable returns the packed changes since a version if they fit into one message and the
// history reaches back to that version.
func (c *Core) pushable(from uint64) ([]byte, bool) {
	if _, held := c.history.Since(from); !held {
		return nil, false
	}
	packed, err := c.packedSince(from, false)
	return packed, err == nil && len(packed) <= c.cfg.ChunkBytes
}

// sendComplete sends a packed delta or snapshot in a single chunk.
func (c *Core) sendComplete(l *link, packed []byte) {
	c.send(l.name, Message{Chunk: &Chunk{Version: c.state.Version, Size: len(packed), Data: packed}})
}

// packedSince returns the packed changes from a version to the installed one: a delta or a
// snapshot, whichever is smaller. If full is set, it returns a snapshot.
func (c *Core) packedSince(from uint64, full bool) ([]byte, error) {
	if full {
		from = 0
	}
	if b, ok := c.packedCache[from]; ok {
		return b, nil
	}
	packed, err := c.packSmaller(from)
	if err == nil {
		c.packedCache[from] = packed
	}
	return packed, err
}

// packSmaller packs the smaller of delta and snapshot. It does not pack the snapshot for
// comparison if the delta contains less than half as many changes as there are resources.
func (c *Core) packSmaller(from uint64) ([]byte, error) {
	delta, held := c.history.Since(from)
	if !held {
		return pack(c.state.Snapshot())
	}
	packed, err := pack(delta)
	if err != nil || 2*len(delta.Changes) < c.state.Len() {
		return packed, err
	}
	snapshot, err := c.packedSince(0, false)
	if err == nil && len(snapshot) < len(packed) {
		return snapshot, nil
	}
	return packed, err
}

func pack(d *fleet.Delta) ([]byte, error) {
	raw, err := d.Encode()
	if err != nil {
		return nil, err
	}
	return fleet.Pack(raw), nil
}

// catchUp starts a pull if a linked node has a newer version and no pull is in progress. It
// pulls at once from the parent, which pushes before it sends a digest, and from any node as
// long as this node has no version. From other nodes it pulls only after pullAfter, to give the
// tree time to deliver the version.
func (c *Core) catchUp() {
	if c.pull != nil {
		return
	}
	var best *link
	for _, l := range c.links {
		if l.aheadSince.IsZero() || l.diverged || c.now.Before(l.avoidUntil) {
			continue
		}
		waitForTree := c.state.Version > 0 && l.name != c.parent
		if waitForTree && c.now.Sub(l.aheadSince) < c.pullAfter() {
			continue
		}
		if best == nil || l.name == c.parent {
			best = l
		}
	}
	if best != nil {
		c.startPull(best)
	}
}

// pullAfter returns how long a linked node other than the parent must be ahead before this node pulls
// from it. While the tree grows, the parent itself may be cut off from the leader.
func (c *Core) pullAfter() time.Duration {
	if c.treeGrows() {
		return min(c.cfg.MergeWindow, c.cfg.PullAfter)
	}
	return c.cfg.PullAfter
}

func (c *Core) startPull(l *link) {
	if c.pull != nil || c.now.Before(l.avoidUntil) {
		return
	}
	c.pull = &pull{from: l.name, lastProgress: c.now}
	c.send(l.name, Message{Pull: &Pull{Version: c.state.Version, Full: c.needSnapshot}})
}

// endPull ends the pull from l, if there is one, and starts no other pull from l for the given
// time.
func (c *Core) endPull(l *link, avoid time.Duration) {
	if c.pull != nil && c.pull.from == l.name {
		c.pull = nil
		l.avoidUntil = c.now.Add(avoid)
	}
}

func (c *Core) receiveBusy(l *link, b *Busy) {
	after := min(max(b.After, time.Millisecond), c.cfg.OutageAfter)
	c.endPull(l, time.Duration(c.rand.Int64N(int64(after))))
	c.catchUp()
}

// tickTransfers drops transfers and ends pulls that have timed out.
func (c *Core) tickTransfers() {
	for _, l := range c.links {
		if l.transfer != nil && c.age(l.transfer.lastUsed) > transferIdleTimeouts*c.cfg.PullTimeout {
			l.transfer = nil
		}
	}
	if c.pull != nil && c.age(c.pull.lastProgress) > c.cfg.PullTimeout {
		c.endPull(c.link(c.pull.from), c.cfg.PullTimeout)
	}
}

// servePull answers a pull: with the next chunk of a running transfer, a digest if the sender
// is up to date, a single chunk, the first chunk of a new transfer, or Busy.
func (c *Core) servePull(l *link, p *Pull) {
	if t := l.transfer; t != nil && p.Offset > 0 && p.Offset < len(t.packed) && p.Target == t.version {
		c.sendChunk(l, p.Offset)
		return
	}
	l.transfer = nil
	if p.Version >= c.state.Version {
		l.digestDue = true
		return
	}
	packed, err := c.packedSince(p.Version, p.Full)
	if err != nil {
		c.reject(err)
		return
	}
	if len(packed) <= c.cfg.ChunkBytes {
		l.sentVersion = c.state.Version
		c.sendComplete(l, packed)
		return
	}
	if c.activeTransfers() >= c.cfg.MaxTransfers {
		c.send(l.name, Message{Busy: &Busy{After: c.cfg.BusyAfter}})
		return
	}
	l.transfer = &transfer{version: c.state.Version, packed: packed}
	c.sendChunk(l, 0)
}

// activeTransfers returns the number of transfers being served.
func (c *Core) activeTransfers() int {
	n := 0
	for _, l := range c.links {
		if l.transfer != nil {
			n++
		}
	}
	return n
}

// sendChunk sends the chunk of a transfer that begins at offset.
func (c *Core) sendChunk(l *link, offset int) {
	t := l.transfer
	t.lastUsed = c.now
	end := min(offset+c.cfg.ChunkBytes, len(t.packed))
	c.send(l.name, Message{Chunk: &Chunk{Version: t.version, Size: len(t.packed), Offset: offset, Data: t.packed[offset:end]}})
	if end == len(t.packed) {
		l.sentVersion = max(l.sentVersion, t.version)
		l.transfer = nil
	}
}

// receiveChunk handles a complete delta or snapshot, or one chunk of the pull in progress.
func (c *Core) receiveChunk(l *link, ch *Chunk) {
	pulled := c.pull != nil && c.pull.from == l.name
	if ch.Offset == 0 && len(ch.Data) == ch.Size {
		c.receiveComplete(l, ch.Version, ch.Data)
		return
	}
	if !pulled {
		return
	}
	if !c.pull.add(ch, c.cfg.StateBytes) {
		c.endPull(l, c.cfg.PullTimeout)
		c.catchUp()
		return
	}
	c.pull.lastProgress = c.now
	if len(c.pull.data) == c.pull.size {
		c.receiveComplete(l, ch.Version, c.pull.data)
		return
	}
	c.send(l.name, Message{Pull: &Pull{Version: c.state.Version, Full: c.needSnapshot, Target: ch.Version, Offset: len(c.pull.data)}})
}

// add appends a chunk. It returns false if the chunk does not continue the previous ones or
// exceeds limit.
func (p *pull) add(ch *Chunk, limit int) bool {
	if ch.Offset == 0 {
		p.version, p.size, p.data = ch.Version, ch.Size, nil
	}
	follows := ch.Version == p.version && ch.Size == p.size && ch.Offset == len(p.data)
	if !follows || len(ch.Data) == 0 || ch.Size > limit || len(p.data)+len(ch.Data) > ch.Size {
		return false
	}
	p.data = append(p.data, ch.Data...)
	return true
}

// receiveComplete applies a packed delta or snapshot to a copy of the state and installs the
// result, or leaves the state unchanged.
func (c *Core) receiveComplete(l *link, version uint64, packed []byte) {
	l.sentVersion = max(l.sentVersion, version)
	if version > l.version {
		l.version = version
		c.updateAheadSince(l)
	}
	if version <= c.state.Version {
		c.endPull(l, 0)
		return
	}
	err := c.apply(packed)
	switch {
	case err == nil:
		c.endPull(l, 0)
		c.catchUp()
	case errors.Is(err, fleet.ErrGap):
		c.startPull(l)
	case errors.Is(err, fleet.ErrHash) && !c.needSnapshot:
		c.reject(err)
		c.needSnapshot = true
		c.endPull(l, 0)
		c.startPull(l)
	default:
		c.reject(err)
		c.endPull(l, c.cfg.PullTimeout)
		c.catchUp()
	}
}

var errNotInstalled = errors.New("version not installed")

// apply unpacks, decodes, applies and installs a delta or snapshot.
func (c *Core) apply(packed []byte) error {
	raw, err := fleet.Unpack(packed, c.cfg.StateBytes)
	if err != nil {
		return err
	}
	delta, err := fleet.DecodeDelta(raw)
	if err != nil {
		return err
	}
	if delta.To <= c.state.Version {
		return errors.Wrapf(fleet.ErrOld, "at %d, delta to %d", c.state.Version, delta.To)
	}
	next, err := c.state.Apply(delta)
	if err != nil {
		return err
	}
	if !c.install(next, delta) {
		return errNotInstalled
	}
	return nil
}

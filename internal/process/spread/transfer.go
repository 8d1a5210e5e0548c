package spread

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

// transfer is a chunked answer being served to a linked node.
type transfer struct {
	version uint64
	blob    []byte
	at      time.Time
}

// pull is the one catch-up this node has under way.
type pull struct {
	from string
	// at is when the last answer came or the pull began.
	at time.Time
	// version, size and data are of the chunks that came so far.
	version uint64
	size    int
	data    []byte
}

// transferIdle is how many pull timeouts a transfer may be silent.
const transferIdle = 4

// push sends each child what it lacks. A child that is too far behind or has
// nothing, or a delta too large for one message, is left to a pull.
func (c *Core) push() {
	c.pushDue = false
	c.pushAt = c.now
	for _, l := range c.links {
		if !l.child || l.diverged || l.sent >= c.state.Version {
			continue
		}
		if packed, ok := c.pushable(l.sent); ok {
			l.sent = c.state.Version
			c.sendWhole(l, packed)
			continue
		}
		l.due = true
	}
}

func (c *Core) pushable(from uint64) ([]byte, bool) {
	if _, held := c.history.Since(from); !held {
		return nil, false
	}
	packed, err := c.blob(from, false)
	return packed, err == nil && len(packed) <= c.cfg.ChunkBytes
}

func (c *Core) sendWhole(l *link, packed []byte) {
	c.send(l.name, Message{Chunk: &Chunk{Version: c.state.Version, Size: len(packed), Data: packed}})
}

// blob returns what leads from a version to the installed one, packed: a delta
// or a snapshot, whichever is smaller.
func (c *Core) blob(from uint64, full bool) ([]byte, error) {
	if full {
		from = 0
	}
	if b, ok := c.blobs[from]; ok {
		return b, nil
	}
	packed, err := c.smaller(from)
	if err == nil {
		c.blobs[from] = packed
	}
	return packed, err
}

// smaller spares packing the snapshot where the delta names less than half of
// the resources.
func (c *Core) smaller(from uint64) ([]byte, error) {
	delta, held := c.history.Since(from)
	if !held {
		return pack(c.state.Snapshot())
	}
	packed, err := pack(delta)
	if err != nil || 2*len(delta.Changes) < c.state.Len() {
		return packed, err
	}
	whole, err := c.blob(0, false)
	if err == nil && len(whole) < len(packed) {
		return whole, nil
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

// catchUp begins a pull if one is needed and none is under way: at once from
// the parent, which pushes before it tells, and from anyone while this node
// has nothing; from other links when the tree has had its time.
func (c *Core) catchUp() {
	if c.pull != nil {
		return
	}
	var best *link
	for _, l := range c.links {
		if l.ahead.IsZero() || l.diverged || c.now.Before(l.avoid) {
			continue
		}
		patient := c.state.Version > 0 && l.name != c.parent
		if patient && c.now.Sub(l.ahead) < c.cfg.PullAfter {
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

func (c *Core) startPull(l *link) {
	if c.pull != nil || c.now.Before(l.avoid) {
		return
	}
	c.pull = &pull{from: l.name, at: c.now}
	c.send(l.name, Message{Pull: &Pull{Version: c.state.Version, Full: c.full}})
}

// endPull ends the pull from l, and leaves l alone for a while if it failed.
func (c *Core) endPull(l *link, avoid time.Duration) {
	if c.pull != nil && c.pull.from == l.name {
		c.pull = nil
		l.avoid = c.now.Add(avoid)
	}
}

func (c *Core) receiveBusy(l *link, b *Busy) {
	after := min(max(b.After, time.Millisecond), c.cfg.OutageAfter)
	c.endPull(l, time.Duration(c.rand.Int64N(int64(after))))
	c.catchUp()
}

func (c *Core) tickTransfers() {
	for _, l := range c.links {
		if l.transfer != nil && c.age(l.transfer.at) > transferIdle*c.cfg.PullTimeout {
			l.transfer = nil
		}
	}
	if c.pull != nil && c.age(c.pull.at) > c.cfg.PullTimeout {
		c.endPull(c.link(c.pull.from), c.cfg.PullTimeout)
	}
}

func (c *Core) servePull(l *link, p *Pull) {
	if t := l.transfer; t != nil && p.Offset > 0 && p.Offset < len(t.blob) && p.Target == t.version {
		c.sendChunk(l, p.Offset)
		return
	}
	l.transfer = nil
	if p.Version >= c.state.Version {
		l.due = true
		return
	}
	packed, err := c.blob(p.Version, p.Full)
	if err != nil {
		c.reject(err)
		return
	}
	if len(packed) <= c.cfg.ChunkBytes {
		l.sent = c.state.Version
		c.sendWhole(l, packed)
		return
	}
	if c.transfers() >= c.cfg.MaxTransfers {
		c.send(l.name, Message{Busy: &Busy{After: c.cfg.BusyAfter}})
		return
	}
	l.transfer = &transfer{version: c.state.Version, blob: packed}
	c.sendChunk(l, 0)
}

func (c *Core) transfers() int {
	n := 0
	for _, l := range c.links {
		if l.transfer != nil {
			n++
		}
	}
	return n
}

func (c *Core) sendChunk(l *link, offset int) {
	t := l.transfer
	t.at = c.now
	end := min(offset+c.cfg.ChunkBytes, len(t.blob))
	c.send(l.name, Message{Chunk: &Chunk{Version: t.version, Size: len(t.blob), Offset: offset, Data: t.blob[offset:end]}})
	if end == len(t.blob) {
		l.sent = max(l.sent, t.version)
		l.transfer = nil
	}
}

// receiveChunk takes in a whole delta, or a piece of the one that is pulled.
func (c *Core) receiveChunk(l *link, ch *Chunk) {
	pulled := c.pull != nil && c.pull.from == l.name
	if ch.Offset == 0 && len(ch.Data) == ch.Size {
		c.receiveWhole(l, ch.Version, ch.Data)
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
	c.pull.at = c.now
	if len(c.pull.data) == c.pull.size {
		c.receiveWhole(l, ch.Version, c.pull.data)
		return
	}
	c.send(l.name, Message{Pull: &Pull{Version: c.state.Version, Full: c.full, Target: ch.Version, Offset: len(c.pull.data)}})
}

// add appends a chunk; false means that it does not fit the ones before.
func (p *pull) add(ch *Chunk, limit int) bool {
	if ch.Offset == 0 {
		p.version, p.size, p.data = ch.Version, ch.Size, nil
	}
	fits := ch.Version == p.version && ch.Size == p.size && ch.Offset == len(p.data)
	if !fits || len(ch.Data) == 0 || ch.Size > limit || len(p.data)+len(ch.Data) > ch.Size {
		return false
	}
	p.data = append(p.data, ch.Data...)
	return true
}

// receiveWhole applies a packed delta to a copy and installs that, or leaves
// everything as it is.
func (c *Core) receiveWhole(l *link, version uint64, packed []byte) {
	l.sent = max(l.sent, version)
	if version > l.version {
		l.version = version
		c.noteAhead(l)
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
	case errors.Is(err, fleet.ErrHash) && !c.full:
		c.reject(err)
		c.full = true
		c.endPull(l, 0)
		c.startPull(l)
	default:
		c.reject(err)
		c.endPull(l, c.cfg.PullTimeout)
		c.catchUp()
	}
}

var errNotInstalled = errors.New("version not installed")

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

package source

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/document"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// The formats of a log entry.
const (
	// formatManifest entries hold a whole manifest, as older releases wrote them.
	formatManifest = iota
	// formatRevision entries hold what an order changes.
	formatRevision
	// formatRollout entries are about a roll-out of a service's software.
	formatRollout
	formatNewest = formatRollout
)

// Command is what one log entry asks for.
type Command struct {
	// Manifest and Text are set in formatManifest only.
	Manifest manifest.Manifest `cbor:"1,keyasint"`
	// Submitted is when the source that was asked took the manifest in.
	Submitted time.Time `cbor:"2,keyasint"`
	// Base is the operators' version that the manifest builds on, nil for any;
	// 0 is before the first.
	Base *uint64 `cbor:"3,keyasint,omitempty"`
	// Text is the manifest as the operator wrote it, packed; it may be empty.
	Text []byte `cbor:"4,keyasint,omitempty"`
	// Read, if set, names the mesh whose newest manifest is asked for; the rest
	// of the command is empty. As an entry of the log it is answered after all
	// that was accepted before it.
	Read string `cbor:"5,keyasint,omitempty"`
	// Format says how the order is held.
	Format uint64 `cbor:"6,keyasint,omitempty"`
	// Change is an encoded change, packed; set in formatRevision.
	Change []byte `cbor:"7,keyasint,omitempty"`
	// Rollout is set in formatRollout.
	Rollout *rolloutEntry `cbor:"8,keyasint,omitempty"`
}

// change is what an order changes of the newest manifest and of its text.
type change struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Text     document.Patch `cbor:"2,keyasint"`
}

// order is a decoded command that hands a manifest in.
type order struct {
	revision  *fleet.Revision
	submitted time.Time
	base      *uint64
	// textAfter is the text of the manifest, given that of the newest one.
	textAfter func(old *text) (*text, error)
}

func decodeCommand(raw []byte) (*Command, error) {
	var c Command
	return &c, errors.Wrap(cbor.Unmarshal(raw, &c), "decode command")
}

func encodeCommand(c Command) ([]byte, error) {
	raw, err := quorum.Encode(c)
	return raw, errors.Wrap(err, "command")
}

// order returns what the command hands in. An error is a *result.Error.
func (c *Command) order() (*order, error) {
	o := &order{submitted: c.Submitted.UTC(), base: c.Base}
	switch c.Format {
	case formatManifest:
		r, err := fleet.Whole(&c.Manifest)
		if err != nil {
			return nil, result.Errorf(result.StateDiverged, "%v", err)
		}
		o.revision = r
		o.textAfter = func(*text) (*text, error) { return unpackText(c.Text), nil }
		return o, nil
	case formatRevision:
		changed, err := decodeChange(c.Change)
		if err != nil {
			return nil, result.Errorf(result.StateDiverged, "%v", err)
		}
		o.revision = &changed.Revision
		o.textAfter = changed.textAfter
		return o, nil
	}
	return nil, result.Errorf(result.FormatUnknown, "log entry of format %d, known are formats up to %d", c.Format, formatNewest)
}

// textAfter applies the change of the text to that of the manifest that is changed.
func (c *change) textAfter(old *text) (*text, error) {
	if c.Revision.Base == 0 {
		old = nil
	}
	d, err := documentOf(old).Apply(c.Text)
	if err != nil {
		return nil, err
	}
	return newText(d), nil
}

func (c *change) encode() ([]byte, error) {
	raw, err := quorum.Encode(c)
	if err != nil {
		return nil, errors.Wrap(err, "change")
	}
	return fleet.Pack(raw), nil
}

// mostChange bounds what the change of one order unpacks to.
const mostChange = 256 << 20

func decodeChange(packed []byte) (*change, error) {
	raw, err := fleet.Unpack(packed, mostChange)
	if err != nil {
		return nil, errors.Wrap(err, "unpack change")
	}
	var c change
	return &c, errors.Wrap(cbor.Unmarshal(raw, &c), "decode change")
}

// basis is what a source compares new orders with: the newest manifests applied there.
type basis struct {
	state *fleet.State
	texts map[string]*text
}

// noBasis makes a change that holds the whole manifest.
var noBasis = &basis{state: fleet.Empty()}

// revise returns the command that asks for an order as what it changes.
func (b *basis) revise(o *Order, submitted time.Time) (Command, error) {
	c := Command{Submitted: submitted, Base: o.Base.entry(), Format: formatRevision}
	revision, err := b.state.Revise(&o.Manifest)
	if err != nil {
		return c, err
	}
	written, err := unpackOrder(o.Text)
	if err != nil {
		return c, err
	}
	changed := change{Revision: *revision}
	if changed.Text, err = document.Diff(documentOf(b.texts[o.Manifest.Mesh]), written); err != nil {
		return c, err
	}
	c.Change, err = changed.encode()
	return c, err
}

// unpackOrder returns the text of an order, which may have none.
func unpackOrder(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	raw, err := fleet.Unpack(packed, mostText)
	return raw, errors.Wrap(err, "text of the order")
}

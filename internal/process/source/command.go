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

// Formats of a log entry.
const (
	// formatManifest entries contain a complete manifest; written by older releases.
	formatManifest = iota
	// formatRevision entries contain only the changes made by an order.
	formatRevision
	// formatRollout entries contain an operation on the roll-out of a service.
	formatRollout
	// formatOrganisations entries are formatRevision entries that add, change or remove
	// organisations. They have a separate number because older releases would not check
	// API keys.
	formatOrganisations
	// formatLeave entries contain the leave of a backend server.
	formatLeave
	formatNewest = formatLeave
)

// Command is the payload of a log entry.
type Command struct {
	// Manifest and Text are set only in formatManifest.
	Manifest manifest.Manifest `cbor:"1,keyasint"`
	// Submitted is when the source contacted by the operator received the manifest.
	Submitted time.Time `cbor:"2,keyasint"`
	// Base is the version that the manifest is based on; nil for any version, 0 if
	// no version has been accepted yet.
	Base *uint64 `cbor:"3,keyasint,omitempty"`
	// Text is the compressed source text of the manifest; it may be empty.
	Text []byte `cbor:"4,keyasint,omitempty"`
	// Read, if set, is the mesh whose newest manifest is requested; the other fields
	// are empty. Because reads are log entries, they are answered after all entries
	// accepted before them.
	Read string `cbor:"5,keyasint,omitempty"`
	// Format is the format of the entry.
	Format uint64 `cbor:"6,keyasint,omitempty"`
	// Change is an encoded and compressed change; set only in formatRevision and
	// formatOrganisations.
	Change []byte `cbor:"7,keyasint,omitempty"`
	// Rollout is set only in formatRollout.
	Rollout *rolloutEntry `cbor:"8,keyasint,omitempty"`
	// Leave is set only in formatLeave.
	Leave *leaveEntry `cbor:"9,keyasint,omitempty"`
}

// change is the difference between the newest manifest, with its text, and an order.
type change struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Text     document.Patch `cbor:"2,keyasint"`
}

// decodedOrder is an order decoded from a command of any format.
type decodedOrder struct {
	revision  *fleet.Revision
	submitted time.Time
	base      *uint64
	// updateText returns the new text of the manifest, given the newest text.
	updateText func(old *manifestText) (*manifestText, error)
}

func decodeCommand(raw []byte) (*Command, error) {
	var c Command
	return &c, errors.Wrap(cbor.Unmarshal(raw, &c), "decode command")
}

func encodeCommand(c Command) ([]byte, error) {
	raw, err := quorum.Encode(c)
	return raw, errors.Wrap(err, "command")
}

// decodeOrder returns the order contained in the command. Errors are of type
// *result.Error.
func (c *Command) decodeOrder() (*decodedOrder, error) {
	o := &decodedOrder{submitted: c.Submitted.UTC(), base: c.Base}
	switch c.Format {
	case formatManifest:
		r, err := fleet.FullRevision(&c.Manifest)
		if err != nil {
			return nil, result.Errorf(result.StateDiverged, "%v", err)
		}
		o.revision = r
		o.updateText = func(*manifestText) (*manifestText, error) { return unpackManifestText(c.Text), nil }
		return o, nil
	case formatRevision, formatOrganisations:
		diff, err := decodeChange(c.Change)
		if err != nil {
			return nil, result.Errorf(result.StateDiverged, "%v", err)
		}
		o.revision = &diff.Revision
		o.updateText = diff.updateText
		return o, nil
	}
	return nil, result.Errorf(result.FormatUnknown, "unknown log entry format %d, the latest known format is %d", c.Format, formatNewest)
}

// updateText applies the text patch to the text of the base manifest.
func (c *change) updateText(old *manifestText) (*manifestText, error) {
	if c.Revision.Base == 0 {
		old = nil
	}
	d, err := documentOrEmpty(old).Apply(c.Text)
	if err != nil {
		return nil, err
	}
	return newManifestText(d), nil
}

func (c *change) encode() ([]byte, error) {
	raw, err := quorum.Encode(c)
	if err != nil {
		return nil, errors.Wrap(err, "change")
	}
	return fleet.Pack(raw), nil
}

// maxChangeBytes bounds the decompressed size of the change of one order.
const maxChangeBytes = 256 << 20

func decodeChange(packed []byte) (*change, error) {
	raw, err := fleet.Unpack(packed, maxChangeBytes)
	if err != nil {
		return nil, errors.Wrap(err, "unpack change")
	}
	var c change
	return &c, errors.Wrap(cbor.Unmarshal(raw, &c), "decode change")
}

// diffBase holds the newest manifests applied by a source. New orders are encoded as
// changes relative to it.
type diffBase struct {
	state *fleet.State
	texts map[string]*manifestText
}

// emptyDiffBase yields changes that contain the complete manifest.
var emptyDiffBase = &diffBase{state: fleet.Empty()}

// diffCommand returns a command that encodes o as changes relative to b.
func (b *diffBase) diffCommand(o *Order, submitted time.Time) (Command, error) {
	c := Command{Submitted: submitted, Base: o.Base.versionPointer(), Format: formatRevision}
	revision, err := b.state.Revise(&o.Manifest)
	if err != nil {
		return c, err
	}
	rawText, err := unpackOrderText(o.Text)
	if err != nil {
		return c, err
	}
	if revision.HasOrganisations() {
		c.Format = formatOrganisations
	}
	diff := change{Revision: *revision}
	if diff.Text, err = document.Diff(documentOrEmpty(b.texts[o.Manifest.Mesh]), rawText); err != nil {
		return c, err
	}
	c.Change, err = diff.encode()
	return c, err
}

// unpackOrderText decompresses the text of an order. It returns nil if the order has
// no text.
func unpackOrderText(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	raw, err := fleet.Unpack(packed, maxTextBytes)
	return raw, errors.Wrap(err, "unpack order text")
}

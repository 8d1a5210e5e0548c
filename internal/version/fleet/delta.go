package fleet

import (
	"bytes"

	"github.com/benbjohnson/immutable"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Change sets one resource, or removes it when Value is empty.
type Change struct {
	Key   Key    `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// Delta leads from one version to a later one. From 0 makes it a snapshot:
// it then holds every resource and applies to any older state.
type Delta struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Hash is the hash of the state that must result.
	Hash    uint64   `cbor:"3,keyasint"`
	Changes []Change `cbor:"4,keyasint"`
}

// ErrGap is returned by Apply for a delta that starts from a later version.
var ErrGap = errors.New("delta starts from a later version")

// ErrOld is returned by Apply for a delta that leads back.
var ErrOld = errors.New("delta leads to a lower version")

// ErrHash is returned by Apply for a delta whose result has another hash.
var ErrHash = errors.New("delta does not end in the announced hash")

// Diff returns the delta that leads from one state to a later one.
func Diff(from, to *State) *Delta {
	d := &Delta{From: from.Version, To: to.Version, Hash: to.hash}
	d.Changes = differences(from.resources.Iterator(), to.resources.Iterator())
	return d
}

// differences lists what is set and what is removed on the way from one set of resources
// to another, both in order.
func differences(from, to *immutable.SortedMapIterator[Key, []byte]) []Change {
	var changes []Change
	oldKey, old, held := from.Next()
	newKey, value, wanted := to.Next()
	for held || wanted {
		order := oldKey.Compare(newKey)
		switch {
		case !wanted || (held && order < 0):
			changes = append(changes, Change{Key: oldKey})
			oldKey, old, held = from.Next()
		case !held || order > 0:
			changes = append(changes, Change{Key: newKey, Value: value})
			newKey, value, wanted = to.Next()
		default:
			if !bytes.Equal(old, value) {
				changes = append(changes, Change{Key: newKey, Value: value})
			}
			oldKey, old, held = from.Next()
			newKey, value, wanted = to.Next()
		}
	}
	return changes
}

// Snapshot returns the delta that leads from nothing to s.
func (s *State) Snapshot() *Delta { return Diff(Empty(), s) }

// Apply returns the state after d, or ErrOld, ErrGap or ErrHash; s stays as it
// is. A delta applies to every version from From up to To: what it sets is
// final at To, and the hash tells if that left a difference.
func (s *State) Apply(d *Delta) (*State, error) {
	if d.To < s.Version {
		return nil, errors.Wrapf(ErrOld, "at %d, delta to %d", s.Version, d.To)
	}
	base := s
	if d.From == 0 {
		base = Empty()
	}
	if base.Version < d.From {
		return nil, errors.Wrapf(ErrGap, "at %d, delta from %d to %d", s.Version, d.From, d.To)
	}
	next := base.derive(d.To)
	for _, c := range d.Changes {
		next.set(c.Key, c.Value)
	}
	if next.hash != d.Hash {
		return nil, errors.Wrapf(ErrHash, "version %d", d.To)
	}
	return next.finish(), nil
}

// Encode returns the wire and disk form of d.
func (d *Delta) Encode() ([]byte, error) { return encMode.Marshal(d) }

// DecodeDelta reads the wire form.
func DecodeDelta(raw []byte) (*Delta, error) {
	var d Delta
	if err := cbor.Unmarshal(raw, &d); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	return &d, nil
}

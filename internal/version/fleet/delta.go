package fleet

import (
	"bytes"

	"github.com/benbjohnson/immutable"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Change sets one resource, or deletes it if Value is empty.
type Change struct {
	Key   Key    `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// Delta is the difference between one version and a later one. If From is 0, it is a
// snapshot, which holds every resource and applies to any older state.
type Delta struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Hash is the hash of the resulting state.
	Hash    uint64   `cbor:"3,keyasint"`
	Changes []Change `cbor:"4,keyasint"`
}

// ErrGap is returned by Apply for a delta that starts at a later version.
var ErrGap = errors.New("delta starts at a later version")

// ErrOld is returned by Apply for a delta to an older version.
var ErrOld = errors.New("delta ends at an older version")

// ErrHash is returned by Apply and ApplyRevision if the hash of the result does not match the
// expected one.
var ErrHash = errors.New("hash of the resulting state does not match")

// Diff returns the delta from one state to a later one.
func Diff(from, to *State) *Delta {
	d := &Delta{From: from.Version, To: to.Version, Hash: to.hash}
	d.Changes = diffResources(from.resources.Iterator(), to.resources.Iterator())
	return d
}

// diffResources returns the changes from one set of resources to another. Both are
// sorted by key.
func diffResources(from, to *immutable.SortedMapIterator[Key, []byte]) []Change {
	var changes []Change
	oldKey, oldValue, hasOld := from.Next()
	newKey, newValue, hasNew := to.Next()
	for hasOld || hasNew {
		order := oldKey.Compare(newKey)
		switch {
		case !hasNew || (hasOld && order < 0):
			changes = append(changes, Change{Key: oldKey})
			oldKey, oldValue, hasOld = from.Next()
		case !hasOld || order > 0:
			changes = append(changes, Change{Key: newKey, Value: newValue})
			newKey, newValue, hasNew = to.Next()
		default:
			if !bytes.Equal(oldValue, newValue) {
				changes = append(changes, Change{Key: newKey, Value: newValue})
			}
			oldKey, oldValue, hasOld = from.Next()
			newKey, newValue, hasNew = to.Next()
		}
	}
	return changes
}

// Snapshot returns the delta from the empty state to s.
func (s *State) Snapshot() *Delta { return Diff(Empty(), s) }

// Apply returns the state after applying d, or ErrOld, ErrGap or ErrHash. It does not
// modify s. A delta applies to every version between From and To, because the values
// that it sets are those at To; the hash check detects any remaining difference.
func (s *State) Apply(d *Delta) (*State, error) {
	if d.To < s.Version {
		return nil, errors.Wrapf(ErrOld, "at version %d, delta to %d", s.Version, d.To)
	}
	base := s
	if d.From == 0 {
		base = Empty()
	}
	if base.Version < d.From {
		return nil, errors.Wrapf(ErrGap, "at version %d, delta from %d to %d", s.Version, d.From, d.To)
	}
	next := base.builder(d.To)
	for _, c := range d.Changes {
		next.set(c.Key, c.Value)
	}
	if next.hash != d.Hash {
		return nil, errors.Wrapf(ErrHash, "version %d", d.To)
	}
	return next.build(), nil
}

// Encode returns the encoding of d that is sent to other daemons and stored on disk.
func (d *Delta) Encode() ([]byte, error) { return encMode.Marshal(d) }

// DecodeDelta reverses Encode.
func DecodeDelta(raw []byte) (*Delta, error) {
	var d Delta
	if err := cbor.Unmarshal(raw, &d); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	return &d, nil
}

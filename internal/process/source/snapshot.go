package source

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/leaves"
	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// Formats of a snapshot.
const (
	// snapshotPlain is uncompressed; written by older releases.
	snapshotPlain = iota
	// snapshotCompressed is compressed, because snapshots are sent to new members in
	// other failure domains.
	snapshotCompressed
	// snapshotWithRollouts is snapshotCompressed with roll-outs. It has a separate
	// number because older releases would drop the roll-outs.
	snapshotWithRollouts
	// snapshotWithOrganisations is snapshotCompressed with organisations and perhaps
	// roll-outs. It has a separate number because older releases would not check API keys.
	snapshotWithOrganisations
	// snapshotWithLeaves is snapshotCompressed with leaves of backend servers and perhaps
	// roll-outs and organisations. It has a separate number because older releases would drop
	// the leaves.
	snapshotWithLeaves
	snapshotNewest = snapshotWithLeaves
)

// maxSnapshotBytes bounds the decompressed size of a snapshot.
const maxSnapshotBytes = 1 << 30

// encodedSnapshot is the CBOR representation of a stateMachine.
type encodedSnapshot struct {
	Delta   []byte         `cbor:"1,keyasint,omitempty"`
	History []HistoryEntry `cbor:"2,keyasint,omitempty"`
	// Texts are sorted by mesh when encoded, so that equal maps have equal encodings.
	Texts map[string][]byte `cbor:"3,keyasint,omitempty"`
	// Leaves are the leaves of backend servers, oldest first.
	Leaves []leaves.Record `cbor:"6,keyasint,omitempty"`
	// Format is the format of Packed. If it is not snapshotPlain, the fields above are
	// empty and Packed contains them.
	Format uint64 `cbor:"4,keyasint,omitempty"`
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// Snapshot implements quorum.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	delta, err := m.state.Snapshot().Encode()
	if err != nil {
		return nil, err
	}
	snapshot := encodedSnapshot{Delta: delta, History: m.allHistory(), Texts: map[string][]byte{}, Leaves: m.leaves.Records()}
	for mesh, text := range m.texts {
		if snapshot.Texts[mesh], err = text.pack(); err != nil {
			return nil, result.Errorf(result.StateDiverged, "text of mesh %s: %v", mesh, err)
		}
	}
	raw, err := quorum.Encode(snapshot)
	if err != nil {
		return nil, err
	}
	format := uint64(snapshotCompressed)
	switch {
	case m.leaves.Len() > 0:
		format = snapshotWithLeaves
	case m.state.HasOrganisations():
		format = snapshotWithOrganisations
	case m.state.HasRollouts():
		format = snapshotWithRollouts
	}
	return quorum.Encode(encodedSnapshot{Format: format, Packed: fleet.Pack(raw)})
}

// decodeSnapshot decodes a snapshot of any known format.
func decodeSnapshot(raw []byte) (*encodedSnapshot, error) {
	var snapshot encodedSnapshot
	if err := cbor.Unmarshal(raw, &snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if snapshot.Format > snapshotNewest {
		return nil, result.Errorf(result.FormatUnknown, "unknown snapshot format %d, the latest known format is %d", snapshot.Format, snapshotNewest)
	}
	if snapshot.Format == snapshotPlain {
		return &snapshot, nil
	}
	raw, err := fleet.Unpack(snapshot.Packed, maxSnapshotBytes)
	if err != nil {
		return nil, errors.Wrap(err, "unpack snapshot")
	}
	snapshot = encodedSnapshot{}
	return &snapshot, errors.Wrap(cbor.Unmarshal(raw, &snapshot), "decode packed snapshot")
}

// Restore implements quorum.StateMachine. It leaves the state unchanged if it returns an
// error.
func (m *stateMachine) Restore(raw []byte) error {
	snapshot, err := decodeSnapshot(raw)
	if err != nil {
		return err
	}
	delta, err := fleet.DecodeDelta(snapshot.Delta)
	if err != nil {
		return err
	}
	state, err := fleet.Empty().Apply(delta)
	if err != nil {
		return err
	}
	routes, err := indexRoutes(state)
	if err != nil {
		return err
	}
	m.state, m.routes, m.leaves = state, routes, leaves.NewTable(snapshot.Leaves)
	m.texts = map[string]*manifestText{}
	for mesh, packed := range snapshot.Texts {
		m.texts[mesh] = unpackManifestText(packed)
	}
	m.history = map[string][]HistoryEntry{}
	for _, entry := range snapshot.History {
		entry.Time = entry.Time.UTC()
		m.history[entry.Mesh] = append(m.history[entry.Mesh], entry)
	}
	m.diffBase.Store(&diffBase{state: m.state, texts: m.texts})
	m.unpublished = true
	return nil
}

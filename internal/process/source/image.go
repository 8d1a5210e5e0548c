package source

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// The formats of a snapshot.
const (
	// imagePlain is the image itself, as older releases wrote it.
	imagePlain = iota
	// imagePacked is the image compressed: to a newcomer it crosses failure domains.
	imagePacked
	// imageRollouts is imagePacked with roll-outs, which older releases would lose.
	imageRollouts
	imageNewest = imageRollouts
)

// mostImage bounds what a snapshot unpacks to.
const mostImage = 1 << 30

// machineImage is the encoded form of a machine, for snapshots.
type machineImage struct {
	Delta   []byte     `cbor:"1,keyasint,omitempty"`
	History []Accepted `cbor:"2,keyasint,omitempty"`
	// Texts are sorted by mesh when encoded.
	Texts map[string][]byte `cbor:"3,keyasint,omitempty"`
	// Format says what Packed holds; all of the above is in there if it is set.
	Format uint64 `cbor:"4,keyasint,omitempty"`
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// Snapshot implements quorum.StateMachine.
func (m *machine) Snapshot() ([]byte, error) {
	delta, err := m.state.Snapshot().Encode()
	if err != nil {
		return nil, err
	}
	image := machineImage{Delta: delta, History: m.all(), Texts: map[string][]byte{}}
	for mesh, text := range m.texts {
		if image.Texts[mesh], err = text.pack(); err != nil {
			return nil, result.Errorf(result.StateDiverged, "text of mesh %s: %v", mesh, err)
		}
	}
	raw, err := quorum.Encode(image)
	if err != nil {
		return nil, err
	}
	format := uint64(imagePacked)
	if m.state.HasRollouts() {
		format = imageRollouts
	}
	return quorum.Encode(machineImage{Format: format, Packed: fleet.Pack(raw)})
}

// decodeImage reads a snapshot of any known format.
func decodeImage(raw []byte) (*machineImage, error) {
	var image machineImage
	if err := cbor.Unmarshal(raw, &image); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if image.Format > imageNewest {
		return nil, result.Errorf(result.FormatUnknown, "snapshot of format %d, known are formats up to %d", image.Format, imageNewest)
	}
	if image.Format == imagePlain {
		return &image, nil
	}
	raw, err := fleet.Unpack(image.Packed, mostImage)
	if err != nil {
		return nil, errors.Wrap(err, "unpack snapshot")
	}
	image = machineImage{}
	return &image, errors.Wrap(cbor.Unmarshal(raw, &image), "decode packed snapshot")
}

// Restore implements quorum.StateMachine. A snapshot that is refused changes nothing.
func (m *machine) Restore(raw []byte) error {
	image, err := decodeImage(raw)
	if err != nil {
		return err
	}
	delta, err := fleet.DecodeDelta(image.Delta)
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
	m.state, m.routes = state, routes
	m.texts = map[string]*text{}
	for mesh, packed := range image.Texts {
		m.texts[mesh] = unpackText(packed)
	}
	m.history = map[string][]Accepted{}
	for _, line := range image.History {
		line.Time = line.Time.UTC()
		m.history[line.Mesh] = append(m.history[line.Mesh], line)
	}
	m.basis.Store(&basis{state: m.state, texts: m.texts})
	m.changed = true
	return nil
}

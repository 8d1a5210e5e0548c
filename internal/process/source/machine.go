package source

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Command is what one log entry asks for.
type Command struct {
	Manifest manifest.Manifest `cbor:"1,keyasint"`
	// Submitted is when the leader took the manifest in.
	Submitted time.Time `cbor:"2,keyasint"`
}

// Accepted is one line of the history.
type Accepted struct {
	// Fleet is the fleet version the manifest brought.
	Fleet uint64 `cbor:"1,keyasint" json:"fleet"`
	Mesh  string `cbor:"2,keyasint" json:"mesh"`
	// Version is the operators' number.
	Version uint64    `cbor:"3,keyasint" json:"version"`
	Content uint64    `cbor:"4,keyasint" json:"content"`
	Time    time.Time `cbor:"5,keyasint" json:"time"`
}

// Answer is what an operator is told.
type Answer struct {
	Code result.Code `json:"code"`
	// Fleet is the fleet version that holds the manifest, if accepted.
	Fleet uint64 `json:"fleet,omitempty"`
	// Winner is the accepted manifest that stands in the way, if refused.
	Winner *Accepted `json:"winner,omitempty"`
	Detail string    `json:"detail,omitempty"`
}

// historyLimit bounds the history kept in memory and in snapshots.
const historyLimit = 10000

// machine is the state that the log's entries build, the same on each source.
type machine struct {
	state   *fleet.State
	history []Accepted
	log     logr.Logger
	// onState is called with each new state.
	onState func(*fleet.State)
}

func newMachine(log logr.Logger, onState func(*fleet.State)) *machine {
	return &machine{state: fleet.Empty(), log: log, onState: onState}
}

// machineImage is the encoded form of a machine, for snapshots.
type machineImage struct {
	Delta   []byte     `cbor:"1,keyasint"`
	History []Accepted `cbor:"2,keyasint"`
}

// Snapshot implements quorum.StateMachine.
func (m *machine) Snapshot() ([]byte, error) {
	delta, err := m.state.Snapshot().Encode()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(machineImage{Delta: delta, History: m.history})
}

// Restore implements quorum.StateMachine.
func (m *machine) Restore(raw []byte) error {
	var image machineImage
	if err := cbor.Unmarshal(raw, &image); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	delta, err := fleet.DecodeDelta(image.Delta)
	if err != nil {
		return err
	}
	state, err := fleet.Empty().Apply(delta)
	if err != nil {
		return err
	}
	m.state = state
	m.history = image.History
	m.onState(state)
	return nil
}

// Apply implements quorum.StateMachine.
func (m *machine) Apply(_, _ uint64, data []byte) Answer {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}
	}
	answer := m.apply(&c)
	if answer.Code == result.Accepted {
		m.log.Info("accepted", "mesh", c.Manifest.Mesh, "version", c.Manifest.Version, "fleet", answer.Fleet)
		m.onState(m.state)
	}
	return answer
}

// apply decides one command. Refusals change nothing.
func (m *machine) apply(c *Command) Answer {
	content, err := fleet.ContentHash(&c.Manifest)
	if err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}
	}
	if refusal, refused := m.refuse(&c.Manifest, content); refused {
		return refusal
	}
	next, err := m.state.Accept(&c.Manifest)
	if err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}
	}
	m.state = next
	m.history = append(m.history, Accepted{
		Fleet: next.Version, Mesh: c.Manifest.Mesh, Version: c.Manifest.Version,
		Content: content, Time: c.Submitted,
	})
	if len(m.history) > historyLimit {
		m.history = slices.Clone(m.history[len(m.history)-historyLimit:])
	}
	return Answer{Code: result.Accepted, Fleet: next.Version}
}

// refuse answers what is not new: a resend, a lost race, an old version.
func (m *machine) refuse(mf *manifest.Manifest, content uint64) (Answer, bool) {
	if first := m.find(mf.Mesh, mf.Version); first != nil {
		if first.Content == content {
			return Answer{Code: result.AlreadyAccepted, Fleet: first.Fleet}, true
		}
		return Answer{Code: result.VersionConflict, Winner: first}, true
	}
	header, known := m.state.Mesh(mf.Mesh)
	if known && mf.Version <= header.Version {
		winner := m.find(mf.Mesh, header.Version)
		return Answer{Code: result.VersionOld, Winner: winner}, true
	}
	return Answer{}, false
}

func (m *machine) find(mesh string, version uint64) *Accepted {
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].Mesh == mesh && m.history[i].Version == version {
			found := m.history[i]
			return &found
		}
	}
	return nil
}

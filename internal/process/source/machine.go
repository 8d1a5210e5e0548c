package source

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Command is what one log entry asks for.
type Command struct {
	Manifest manifest.Manifest `cbor:"1,keyasint"`
	// Submitted is when the leader took the manifest in.
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
	// Text answers a read: the newest manifest as its operator wrote it, packed;
	// empty before the first. Without a name of its own in CBOR it would be left out
	// there too, and no answer of the leader would reach an operator who asked another
	// source.
	Text []byte `json:"-" cbor:"text,omitempty"`
}

// historyLimit bounds the lines kept of one mesh, so that a busy mesh does not
// push out another's. The newest line of a mesh is always kept.
const historyLimit = 8192

// machine is the state that the log's entries build, the same on each source.
type machine struct {
	state *fleet.State
	// history of each mesh, oldest first.
	history map[string][]Accepted
	// texts are the newest manifests as their operators wrote them, by mesh.
	texts  map[string][]byte
	routes routeIndex
	// limit is the most lines kept of one mesh.
	limit int
	log   logr.Logger
	// onState is called with each new state.
	onState func(*fleet.State)
}

func newMachine(log logr.Logger, onState func(*fleet.State)) *machine {
	return &machine{
		state: fleet.Empty(), history: map[string][]Accepted{}, texts: map[string][]byte{}, routes: routeIndex{},
		limit: historyLimit, log: log, onState: onState,
	}
}

// machineImage is the encoded form of a machine, for snapshots.
type machineImage struct {
	Delta   []byte     `cbor:"1,keyasint"`
	History []Accepted `cbor:"2,keyasint"`
	// Texts are sorted by mesh when encoded.
	Texts map[string][]byte `cbor:"3,keyasint,omitempty"`
}

// all returns every line kept, oldest first.
func (m *machine) all() []Accepted {
	var lines []Accepted
	for _, h := range m.history {
		lines = append(lines, h...)
	}
	slices.SortFunc(lines, func(a, b Accepted) int { return cmp.Compare(a.Fleet, b.Fleet) })
	return lines
}

// Snapshot implements quorum.StateMachine.
func (m *machine) Snapshot() ([]byte, error) {
	delta, err := m.state.Snapshot().Encode()
	if err != nil {
		return nil, err
	}
	return quorum.Encode(machineImage{Delta: delta, History: m.all(), Texts: m.texts})
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
	routes, err := indexRoutes(state)
	if err != nil {
		return err
	}
	m.state = state
	m.routes = routes
	m.texts = map[string][]byte{}
	maps.Copy(m.texts, image.Texts)
	m.history = map[string][]Accepted{}
	for _, line := range image.History {
		line.Time = line.Time.UTC()
		m.history[line.Mesh] = append(m.history[line.Mesh], line)
	}
	m.onState(state)
	return nil
}

// Apply implements quorum.StateMachine.
func (m *machine) Apply(_, _ uint64, data []byte) Answer {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}
	}
	if c.Read != "" {
		return Answer{Code: result.Answered, Fleet: m.state.Version, Winner: m.newest(c.Read), Text: m.texts[c.Read]}
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
	if refusal, refused := m.refuse(c, content); refused {
		return refusal
	}
	next, err := m.state.Accept(&c.Manifest)
	if err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}
	}
	m.state = next
	m.routes.replace(&c.Manifest)
	m.texts[c.Manifest.Mesh] = c.Text
	m.remember(Accepted{
		Fleet: next.Version, Mesh: c.Manifest.Mesh, Version: c.Manifest.Version,
		Content: content, Time: c.Submitted.UTC(),
	})
	return Answer{Code: result.Accepted, Fleet: next.Version}
}

func (m *machine) remember(line Accepted) {
	lines := append(m.history[line.Mesh], line)
	if len(lines) > m.limit {
		lines = slices.Clone(lines[len(lines)-m.limit:])
	}
	m.history[line.Mesh] = lines
}

// refuse answers what is not new: a resend, a lost race, an old version; and
// what would take another mesh's requests.
func (m *machine) refuse(c *Command, content uint64) (Answer, bool) {
	mf := &c.Manifest
	if first := m.find(mf.Mesh, mf.Version); first != nil {
		if first.Content == content {
			return Answer{Code: result.AlreadyAccepted, Fleet: first.Fleet}, true
		}
		return Answer{Code: result.VersionConflict, Winner: first}, true
	}
	newest := m.newest(mf.Mesh)
	if current := newest.Number(); c.Base != nil && *c.Base != current {
		return Answer{Code: result.BaseMoved, Winner: newest, Detail: fmt.Sprintf("builds on %d, current is %d", *c.Base, current)}, true
	}
	if newest != nil && mf.Version < newest.Version {
		return Answer{Code: result.VersionOld, Winner: newest, Detail: m.forgotten(mf)}, true
	}
	if clash := m.routes.clash(mf); clash != nil {
		return Answer{Code: result.RouteConflict, Winner: m.newest(clash.mesh), Detail: clash.String()}, true
	}
	return Answer{}, false
}

// forgotten says so when the version may have been accepted, too long ago.
func (m *machine) forgotten(mf *manifest.Manifest) string {
	lines := m.history[mf.Mesh]
	if len(lines) < m.limit || mf.Version > lines[0].Version {
		return ""
	}
	return "it is older than the kept history, which does not tell whether it was accepted"
}

// Number is the operators' number of the version; 0 without a line.
func (a *Accepted) Number() uint64 {
	if a == nil {
		return 0
	}
	return a.Version
}

func (m *machine) newest(mesh string) *Accepted {
	lines := m.history[mesh]
	if len(lines) == 0 {
		return nil
	}
	line := lines[len(lines)-1]
	return &line
}

// find returns the line of a version; a mesh's versions only go up.
func (m *machine) find(mesh string, version uint64) *Accepted {
	lines := m.history[mesh]
	i, found := slices.BinarySearchFunc(lines, version, func(a Accepted, v uint64) int { return cmp.Compare(a.Version, v) })
	if !found {
		return nil
	}
	line := lines[i]
	return &line
}

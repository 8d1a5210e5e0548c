package source

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

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
	// Rollout is the newest roll-out of the service that was asked about.
	Rollout *fleet.Rollout `json:"rollout,omitempty"`
}

// historyLimit bounds the lines kept of one mesh, so that a busy mesh does not
// push out another's. The newest line of a mesh is always kept.
const historyLimit = 8192

// machine is the state that the log's entries build, the same on each source.
type machine struct {
	state *fleet.State
	// history of each mesh, oldest first.
	history map[string][]Accepted
	// texts are the newest manifests as their operators wrote them, by mesh. The map is
	// replaced and never changed: it is shared with basis.
	texts  map[string]*text
	routes routeIndex
	// basis is what new orders are compared with; read by other goroutines.
	basis atomic.Pointer[basis]
	// changed is set until the newest state is handed out.
	changed bool
	// limit is the most lines kept of one mesh.
	limit int
	log   logr.Logger
	// onState is called with the newest state.
	onState func(*fleet.State)
}

func newMachine(log logr.Logger, onState func(*fleet.State)) *machine {
	m := &machine{
		state: fleet.Empty(), history: map[string][]Accepted{}, texts: map[string]*text{}, routes: routeIndex{},
		limit: historyLimit, log: log, onState: onState,
	}
	m.basis.Store(noBasis)
	return m
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

// Apply implements quorum.StateMachine.
func (m *machine) Apply(_, _ uint64, data []byte) (outcome, error) {
	c, err := decodeCommand(data)
	if err != nil {
		return outcome{Answer: Answer{Code: result.ManifestInvalid, Detail: err.Error()}}, nil
	}
	if c.Read != "" {
		answer := Answer{Code: result.Answered, Fleet: m.state.Version, Winner: m.newest(c.Read)}
		return outcome{Answer: answer, text: m.texts[c.Read]}, nil
	}
	if c.Format == formatRollout && c.Rollout != nil {
		return outcome{Answer: m.applyRollout(c.Rollout, c.Submitted.UTC())}, nil
	}
	o, err := c.order()
	if err != nil {
		return outcome{}, err
	}
	answer, err := m.apply(o)
	return outcome{Answer: answer}, err
}

// Applied implements quorum.StateMachine: it hands the newest state out.
func (m *machine) Applied() {
	if m.changed {
		m.changed = false
		m.onState(m.state)
	}
}

// Check implements quorum.Checker. It turns down what no source could apply, and a
// revision of a manifest that is not the newest here, for which its sender still has the
// whole. What is only to be answered, such as a resend, is left to the log.
func (m *machine) Check(data []byte) *result.Error {
	c, err := decodeCommand(data)
	if err != nil {
		return result.Errorf(result.ManifestInvalid, "%v", err)
	}
	if c.Read != "" || (c.Format == formatRollout && c.Rollout != nil) {
		return nil
	}
	o, err := c.order()
	if err != nil {
		return result.Errorf(result.ManifestInvalid, "%v", err)
	}
	if _, refused := m.refuse(o); refused {
		return nil
	}
	_, text, err := m.next(o)
	if err == nil {
		// No source could put a text with another hash into its next snapshot.
		_, err = text.document.Bytes()
	}
	switch {
	case errors.Is(err, fleet.ErrBase):
		return result.Errorf(result.RevisionStale, "%v", err)
	case err != nil:
		return result.Errorf(result.ManifestInvalid, "%v", err)
	}
	return nil
}

// apply decides one order. Refusals change nothing. An error means that the order fits
// what the leader had, and not what is here.
func (m *machine) apply(o *order) (Answer, error) {
	if refusal, refused := m.refuse(o); refused {
		return refusal, nil
	}
	next, text, err := m.next(o)
	switch {
	case errors.Is(err, fleet.ErrBase):
		return Answer{Code: result.RevisionStale, Detail: err.Error()}, nil
	case err != nil:
		return Answer{}, result.Errorf(result.StateDiverged, "mesh %s version %d: %v", o.revision.Mesh, o.revision.Version, err)
	}
	r := o.revision
	moved := movedRoutes(m.state, next, r)
	if clash := m.routes.clash(r.Mesh, moved.added); clash != nil {
		return Answer{Code: result.RouteConflict, Winner: m.newest(clash.mesh), Detail: clash.String()}, nil
	}
	m.routes.move(r.Mesh, moved)
	m.state = next
	m.texts = maps.Clone(m.texts)
	m.texts[r.Mesh] = text
	m.remember(Accepted{Fleet: next.Version, Mesh: r.Mesh, Version: r.Version, Content: r.Content, Time: o.submitted})
	m.basis.Store(&basis{state: m.state, texts: m.texts})
	m.changed = true
	m.log.Info("accepted", "mesh", r.Mesh, "version", r.Version, "fleet", next.Version, "changes", len(r.Changes))
	return Answer{Code: result.Accepted, Fleet: next.Version}, nil
}

// next is the state and the text after an order.
func (m *machine) next(o *order) (*fleet.State, *text, error) {
	next, err := m.state.Take(o.revision)
	if err != nil {
		return nil, nil, err
	}
	text, err := o.textAfter(m.texts[o.revision.Mesh])
	return next, text, err
}

func (m *machine) remember(line Accepted) {
	lines := append(m.history[line.Mesh], line)
	if len(lines) > m.limit {
		lines = slices.Clone(lines[len(lines)-m.limit:])
	}
	m.history[line.Mesh] = lines
}

// refuse answers what is not new: a resend, a lost race, an old version. An order that names
// its base and lost a race is told that its base has moved, also where the winner took the
// same number: that is what its operator has to look at.
func (m *machine) refuse(o *order) (Answer, bool) {
	r := o.revision
	first, newest := m.find(r.Mesh, r.Version), m.newest(r.Mesh)
	if first != nil && first.Content == r.Content {
		return Answer{Code: result.AlreadyAccepted, Fleet: first.Fleet}, true
	}
	if current := newest.Number(); o.base != nil && *o.base != current {
		return Answer{Code: result.BaseMoved, Winner: newest, Detail: fmt.Sprintf("builds on %d, current is %d", *o.base, current)}, true
	}
	if first != nil {
		return Answer{Code: result.VersionConflict, Winner: first}, true
	}
	if newest != nil && r.Version < newest.Version {
		return Answer{Code: result.VersionOld, Winner: newest, Detail: m.forgotten(r)}, true
	}
	return Answer{}, false
}

// forgotten says so when the version may have been accepted, too long ago.
func (m *machine) forgotten(r *fleet.Revision) string {
	lines := m.history[r.Mesh]
	if len(lines) < m.limit || r.Version > lines[0].Version {
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

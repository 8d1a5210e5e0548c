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

	"github.com/daisygate/daisygate/internal/process/leaves"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// HistoryEntry is the history entry of one accepted manifest.
type HistoryEntry struct {
	// Fleet is the fleet version created by accepting the manifest.
	Fleet uint64 `cbor:"1,keyasint" json:"fleet"`
	Mesh  string `cbor:"2,keyasint" json:"mesh"`
	// Version is the version number assigned by the operator.
	Version uint64    `cbor:"3,keyasint" json:"version"`
	Content uint64    `cbor:"4,keyasint" json:"content"`
	Time    time.Time `cbor:"5,keyasint" json:"time"`
}

// Answer is the response to an operator's request.
type Answer struct {
	Code result.Code `json:"code"`
	// Fleet is the fleet version that contains the manifest, if accepted.
	Fleet uint64 `json:"fleet,omitempty"`
	// Winner is the accepted manifest that conflicts with the order, if rejected. For
	// a read, it is the newest accepted manifest.
	Winner *HistoryEntry `json:"winner,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// Text is the response to a read: the compressed source text of the newest
	// manifest, empty before the first one. It needs an explicit CBOR name: otherwise
	// the json tag "-" would also omit it from CBOR, and reads forwarded to the leader
	// would return no text.
	Text []byte `json:"-" cbor:"text,omitempty"`
	// Rollout is the newest roll-out of the requested service.
	Rollout *fleet.Rollout `json:"rollout,omitempty"`
}

// maxHistoryPerMesh is the maximum number of history entries kept for each mesh. The
// limit is per mesh so that frequent changes in one mesh do not evict the history of
// another. The newest entry of a mesh is always kept.
const maxHistoryPerMesh = 8192

// stateMachine is the replicated state machine. Applying the same log entries gives
// the same state on every source.
type stateMachine struct {
	state *fleet.State
	// history holds the accepted manifests of each mesh, oldest first.
	history map[string][]HistoryEntry
	// texts are the source texts of the newest manifests by mesh. The map is copied on
	// write, because it is shared with diffBase.
	texts  map[string]*manifestText
	routes routeIndex
	// leaves are the acknowledged leaves of backend servers.
	leaves *leaves.Table
	// diffBase is the state that new orders are diffed against; it is read by other
	// goroutines.
	diffBase atomic.Pointer[diffBase]
	// unpublished is set while the newest state has not been passed to onState.
	unpublished bool
	// maxHistory is the maximum number of history entries kept for each mesh.
	maxHistory int
	log        logr.Logger
	// onState is called with each newly published state.
	onState func(*fleet.State)
}

func newStateMachine(log logr.Logger, onState func(*fleet.State)) *stateMachine {
	m := &stateMachine{
		state: fleet.Empty(), history: map[string][]HistoryEntry{}, texts: map[string]*manifestText{}, routes: routeIndex{}, leaves: leaves.NewTable(nil),
		maxHistory: maxHistoryPerMesh, log: log, onState: onState,
	}
	m.diffBase.Store(emptyDiffBase)
	return m
}

// allHistory returns all retained history entries of all meshes, oldest first.
func (m *stateMachine) allHistory() []HistoryEntry {
	var entries []HistoryEntry
	for _, h := range m.history {
		entries = append(entries, h...)
	}
	slices.SortFunc(entries, func(a, b HistoryEntry) int { return cmp.Compare(a.Fleet, b.Fleet) })
	return entries
}

// Apply implements quorum.StateMachine.
func (m *stateMachine) Apply(_, _ uint64, data []byte) (outcome, error) {
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
	if c.Format == formatLeave && c.Leave != nil {
		return outcome{Answer: m.applyLeave(c.Leave, c.Submitted)}, nil
	}
	o, err := c.decodeOrder()
	if err != nil {
		return outcome{}, err
	}
	answer, err := m.applyOrder(o)
	return outcome{Answer: answer}, err
}

// BatchApplied implements quorum.StateMachine. It publishes the newest state.
func (m *stateMachine) BatchApplied() {
	if m.unpublished {
		m.unpublished = false
		m.onState(m.state)
	}
}

// Check implements quorum.Checker. It rejects commands that no source could apply, and
// revisions whose base manifest is outdated; the sender retries those with the complete
// manifest. Orders that only need an answer, such as resends, are passed to the log.
func (m *stateMachine) Check(data []byte) *result.Error {
	c, err := decodeCommand(data)
	if err != nil {
		return result.Errorf(result.ManifestInvalid, "%v", err)
	}
	if c.Read != "" || (c.Format == formatRollout && c.Rollout != nil) || (c.Format == formatLeave && c.Leave != nil) {
		return nil
	}
	o, err := c.decodeOrder()
	if err != nil {
		return result.Errorf(result.ManifestInvalid, "%v", err)
	}
	if _, refused := m.checkConflicts(o); refused {
		return nil
	}
	_, text, err := m.nextState(o)
	if err == nil {
		// A text whose hash does not match would make the next snapshot of every
		// source fail.
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

// applyOrder applies one order, or rejects it without changing the state. An error means
// that the leader could apply the order but this source cannot: their states differ.
func (m *stateMachine) applyOrder(o *decodedOrder) (Answer, error) {
	if refusal, refused := m.checkConflicts(o); refused {
		return refusal, nil
	}
	next, text, err := m.nextState(o)
	switch {
	case errors.Is(err, fleet.ErrBase):
		return Answer{Code: result.RevisionStale, Detail: err.Error()}, nil
	case err != nil:
		return Answer{}, result.Errorf(result.StateDiverged, "mesh %s version %d: %v", o.revision.Mesh, o.revision.Version, err)
	}
	r := o.revision
	diff := diffRoutes(m.state, next, r)
	if conflict := m.routes.findConflict(r.Mesh, diff.added); conflict != nil {
		return Answer{Code: result.RouteConflict, Winner: m.newest(conflict.otherMesh), Detail: conflict.String()}, nil
	}
	m.routes.apply(r.Mesh, diff)
	m.state = next
	m.texts = maps.Clone(m.texts)
	m.texts[r.Mesh] = text
	m.appendHistory(HistoryEntry{Fleet: next.Version, Mesh: r.Mesh, Version: r.Version, Content: r.Content, Time: o.submitted})
	m.diffBase.Store(&diffBase{state: m.state, texts: m.texts})
	m.unpublished = true
	m.log.Info("manifest accepted", "mesh", r.Mesh, "version", r.Version, "fleet", next.Version, "changes", len(r.Changes))
	return Answer{Code: result.Accepted, Fleet: next.Version}, nil
}

// nextState returns the state and the manifest text that result from an order.
func (m *stateMachine) nextState(o *decodedOrder) (*fleet.State, *manifestText, error) {
	next, err := m.state.ApplyRevision(o.revision)
	if err != nil {
		return nil, nil, err
	}
	text, err := o.updateText(m.texts[o.revision.Mesh])
	return next, text, err
}

func (m *stateMachine) appendHistory(entry HistoryEntry) {
	entries := append(m.history[entry.Mesh], entry)
	if len(entries) > m.maxHistory {
		entries = slices.Clone(entries[len(entries)-m.maxHistory:])
	}
	m.history[entry.Mesh] = entries
}

// checkConflicts returns the answer to an order that must not be applied: a resend, a
// conflict with a concurrent order, or an old version. An order with a base that lost to a
// concurrent order gets BaseMoved, even if the winner has the same version number: the
// moved base is what the operator has to resolve.
func (m *stateMachine) checkConflicts(o *decodedOrder) (Answer, bool) {
	r := o.revision
	first, newest := m.findVersion(r.Mesh, r.Version), m.newest(r.Mesh)
	if first != nil && first.Content == r.Content {
		return Answer{Code: result.AlreadyAccepted, Fleet: first.Fleet}, true
	}
	if current := newest.Number(); o.base != nil && *o.base != current {
		return Answer{Code: result.BaseMoved, Winner: newest, Detail: fmt.Sprintf("order is based on version %d, current version is %d", *o.base, current)}, true
	}
	if first != nil {
		return Answer{Code: result.VersionConflict, Winner: first}, true
	}
	if newest != nil && r.Version < newest.Version {
		return Answer{Code: result.VersionOld, Winner: newest, Detail: m.truncatedHistoryDetail(r)}, true
	}
	return Answer{}, false
}

// truncatedHistoryDetail returns an explanation if the version is older than the retained
// history, so that it is unknown whether it was accepted.
func (m *stateMachine) truncatedHistoryDetail(r *fleet.Revision) string {
	entries := m.history[r.Mesh]
	if len(entries) < m.maxHistory || r.Version > entries[0].Version {
		return ""
	}
	return "the version is older than the retained history, so it is unknown whether it was accepted"
}

// Number returns the version number assigned by the operator, or 0 if a is nil.
func (a *HistoryEntry) Number() uint64 {
	if a == nil {
		return 0
	}
	return a.Version
}

func (m *stateMachine) newest(mesh string) *HistoryEntry {
	entries := m.history[mesh]
	if len(entries) == 0 {
		return nil
	}
	entry := entries[len(entries)-1]
	return &entry
}

// findVersion returns the history entry of a version, or nil. It uses binary search:
// the versions of a mesh only increase.
func (m *stateMachine) findVersion(mesh string, version uint64) *HistoryEntry {
	entries := m.history[mesh]
	i, found := slices.BinarySearchFunc(entries, version, func(a HistoryEntry, v uint64) int { return cmp.Compare(a.Version, v) })
	if !found {
		return nil
	}
	entry := entries[i]
	return &entry
}

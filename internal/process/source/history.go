package source

import (
	"cmp"
	"context"
	"slices"
)

// MaxHistory is the maximum number of entries in one history response.
const MaxHistory = 10000

// HistoryRequest requests the newest accepted manifests.
type HistoryRequest struct {
	// Mesh is the name of the mesh; empty for all meshes.
	Mesh string
	// Limit is the maximum number of entries; values above MaxHistory, and 0 or less,
	// mean MaxHistory.
	Limit int
}

func (r *HistoryRequest) limit() int {
	if r.Limit <= 0 {
		return MaxHistory
	}
	return min(r.Limit, MaxHistory)
}

// History returns the newest accepted manifests selected by r, oldest first. It returns
// only manifests that this source has applied.
func (s *Source) History(ctx context.Context, r HistoryRequest) ([]HistoryEntry, error) {
	var history []HistoryEntry
	err := s.group.Query(ctx, func() { history = s.machine.newestHistory(&r) })
	return history, err
}

// newestHistory returns the newest history entries selected by r. It takes at most the
// limit from each mesh, which bounds the time for which applying log entries is blocked.
func (m *stateMachine) newestHistory(r *HistoryRequest) []HistoryEntry {
	limit := r.limit()
	if r.Mesh != "" {
		h := m.history[r.Mesh]
		return slices.Clone(h[max(len(h)-limit, 0):])
	}
	var entries []HistoryEntry
	for _, h := range m.history {
		entries = append(entries, h[max(len(h)-limit, 0):]...)
	}
	slices.SortFunc(entries, func(a, b HistoryEntry) int { return cmp.Compare(a.Fleet, b.Fleet) })
	return entries[max(len(entries)-limit, 0):]
}

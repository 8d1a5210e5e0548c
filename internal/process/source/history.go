package source

import (
	"cmp"
	"context"
	"slices"
)

// MaxHistory bounds the lines of one answer.
const MaxHistory = 10000

// HistoryRequest asks for the newest accepted manifests.
type HistoryRequest struct {
	// Mesh names the mesh; empty is all.
	Mesh string
	// Limit is the most lines; 0, or more than MaxHistory, is MaxHistory.
	Limit int
}

func (r *HistoryRequest) limit() int {
	if r.Limit <= 0 {
		return MaxHistory
	}
	return min(r.Limit, MaxHistory)
}

// History returns the newest accepted manifests that r asks for, oldest first, as far as
// this source has applied them.
func (s *Source) History(ctx context.Context, r HistoryRequest) ([]Accepted, error) {
	var history []Accepted
	err := s.group.Query(ctx, func() { history = s.machine.lines(&r) })
	return history, err
}

// lines returns the newest lines; each mesh gives no more than are asked for, so that the
// log is held up no longer than these take.
func (m *machine) lines(r *HistoryRequest) []Accepted {
	limit := r.limit()
	if r.Mesh != "" {
		h := m.history[r.Mesh]
		return slices.Clone(h[max(len(h)-limit, 0):])
	}
	var lines []Accepted
	for _, h := range m.history {
		lines = append(lines, h[max(len(h)-limit, 0):]...)
	}
	slices.SortFunc(lines, func(a, b Accepted) int { return cmp.Compare(a.Fleet, b.Fleet) })
	return lines[max(len(lines)-limit, 0):]
}

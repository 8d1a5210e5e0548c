package fleet

import "slices"

// History keeps the newest deltas of a sequence of states, to send to daemons that
// are a few versions behind. It keeps deltas instead of states because a delta shares
// its values with the state that it produced, so that only the values changed since
// then take extra memory.
type History struct {
	// Count and Bytes are the maximum number and total size of the deltas that are
	// kept; zero keeps none.
	Count int
	Bytes int
	// deltas form a chain: each starts at or before the end of the previous one.
	deltas []*Delta
	size   int
}

// Add appends the delta that produced the newest state. A snapshot clears the history,
// and a delta that leaves a gap after the last one restarts it.
func (h *History) Add(d *Delta) {
	if n := len(h.deltas); d.From == 0 || (n > 0 && h.deltas[n-1].To < d.From) {
		h.deltas, h.size = nil, 0
	}
	if d.From == 0 {
		return
	}
	h.deltas = append(h.deltas, d)
	h.size += d.size()
	for len(h.deltas) > h.Count || (h.size > h.Bytes && len(h.deltas) > 0) {
		h.size -= h.deltas[0].size()
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
}

// Since merges all deltas after version into one, with the last value of each key,
// and reports whether the history goes back that far. The result contains every key
// that changed, so it also applies to each version in between.
func (h *History) Since(version uint64) (*Delta, bool) {
	n := len(h.deltas)
	if n == 0 || version < h.deltas[0].From || version >= h.deltas[n-1].To {
		return nil, false
	}
	last := h.deltas[n-1]
	merged := &Delta{From: version, To: last.To, Hash: last.Hash}
	seen := map[Key]bool{}
	for i := n - 1; i >= 0 && h.deltas[i].To > version; i-- {
		for _, c := range h.deltas[i].Changes {
			if !seen[c.Key] {
				seen[c.Key] = true
				merged.Changes = append(merged.Changes, c)
			}
		}
	}
	slices.SortFunc(merged.Changes, func(a, b Change) int { return a.Key.Compare(b.Key) })
	return merged, true
}

// changeOverhead is the approximate memory of a Change without its strings and value,
// in bytes.
const changeOverhead = 72

// size returns the approximate memory of d in bytes.
func (d *Delta) size() int {
	sum := 0
	for _, c := range d.Changes {
		sum += changeOverhead + len(c.Key.Mesh) + len(c.Key.Kind) + len(c.Key.Name) + len(c.Value)
	}
	return sum
}

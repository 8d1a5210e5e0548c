package fleet

import "slices"

// History is the newest deltas of a chain of states, for those a few versions
// behind. It holds deltas and not states: a delta shares its values with the
// state it led to, so that the history costs only what has changed since.
type History struct {
	// Count and Bytes bound what is kept; a zero bound keeps nothing.
	Count int
	Bytes int
	// deltas are a chain: each begins at or before the end of the one before.
	deltas []*Delta
	size   int
}

// Add appends the delta that led to the newest state. One that does not follow
// on what is held, and a snapshot, begins the history anew.
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

// Since merges all deltas after version into one, the last value of each key
// winning, and reports whether the history reaches back so far. As it names
// every key that changed on the way, it applies to the versions in between too.
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

// changeOverhead is the memory of a Change besides its strings and value.
const changeOverhead = 72

// size is about what d holds in memory, in bytes.
func (d *Delta) size() int {
	sum := 0
	for _, c := range d.Changes {
		sum += changeOverhead + len(c.Key.Mesh) + len(c.Key.Kind) + len(c.Key.Name) + len(c.Value)
	}
	return sum
}

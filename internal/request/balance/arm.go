package balance

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// inArm reports whether a candidate belongs to an arm.
func (t *Table) inArm(a *Arm, c *directory.Candidate) bool {
	if !a.Bound {
		return true
	}
	if c.Server.Version != a.Version {
		return false
	}
	return a.First == 0 || t.rank(c, a.First) < a.First
}

// rank returns the position of a server among those of its software version. Warm servers
// come first, because a version must not be judged by servers that are slow after their start.
// Each value of first has its own order, so that the next stage also tries other servers:
// servers differ in speed.
func (t *Table) rank(c *directory.Candidate, first int) int {
	if t.ranks == nil || t.ranksFor != first {
		t.computeRanks(first)
	}
	return t.ranks[c.Server.Addr]
}

func (t *Table) computeRanks(first int) {
	t.ranksFor = first
	weight := func(c *directory.Candidate) uint64 {
		return xxhash.Sum64String(strconv.Itoa(first) + c.Server.Boot + c.Server.Addr)
	}
	t.ranks = make(map[string]int, len(t.candidates))
	order := slices.Clone(t.candidates)
	slices.SortFunc(order, func(a, b *directory.Candidate) int {
		return cmp.Or(cmp.Compare(a.Server.Version, b.Server.Version), compareCold(a, b),
			cmp.Compare(weight(a), weight(b)))
	})
	position := 0
	for i, c := range order {
		if i > 0 && order[i-1].Server.Version != c.Server.Version {
			position = 0
		}
		t.ranks[c.Server.Addr] = position
		position++
	}
}

func compareCold(a, b *directory.Candidate) int {
	switch {
	case a.Server.Cold == b.Server.Cold:
		return 0
	case b.Server.Cold:
		return -1
	}
	return 1
}

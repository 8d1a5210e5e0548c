package balance

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// holds reports whether a candidate belongs to an arm.
func (t *Table) holds(a *Arm, c *directory.Candidate) bool {
	if !a.Bound {
		return true
	}
	if c.Server.Version != a.Version {
		return false
	}
	return a.First == 0 || t.rank(c, a.First) < a.First
}

// rank is the place of a server among those of its software version, the warm ones first:
// one that works slowly after its start would be judged by that. Each number of servers has
// an order of its own, so that others are tried with the next one: servers differ in speed.
func (t *Table) rank(c *directory.Candidate, first int) int {
	if t.ranks == nil || t.ranked != first {
		t.rankAll(first)
	}
	return t.ranks[c.Server.Addr]
}

func (t *Table) rankAll(first int) {
	t.ranked = first
	weight := func(c *directory.Candidate) uint64 {
		return xxhash.Sum64String(strconv.Itoa(first) + c.Server.Boot + c.Server.Addr)
	}
	t.ranks = make(map[string]int, len(t.candidates))
	order := slices.Clone(t.candidates)
	slices.SortFunc(order, func(a, b *directory.Candidate) int {
		return cmp.Or(cmp.Compare(a.Server.Version, b.Server.Version), coldLast(a, b),
			cmp.Compare(weight(a), weight(b)))
	})
	place := 0
	for i, c := range order {
		if i > 0 && order[i-1].Server.Version != c.Server.Version {
			place = 0
		}
		t.ranks[c.Server.Addr] = place
		place++
	}
}

func coldLast(a, b *directory.Candidate) int {
	switch {
	case a.Server.Cold == b.Server.Cold:
		return 0
	case b.Server.Cold:
		return -1
	}
	return 1
}

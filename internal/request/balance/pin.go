package balance

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// pinned picks the untried server of the highest random weight (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): every
// daemon that knows the same servers picks the same one. Load, place and
// ejection, which daemons know differently, are left out.
func (t *Table) pinned(in Input) *directory.Candidate {
	var best *directory.Candidate
	var most uint64
	for _, c := range t.candidates {
		if !t.holds(&in.Arm, c) {
			continue
		}
		if slices.ContainsFunc(in.Tried, func(o *directory.Candidate) bool { return o.Server.Addr == c.Server.Addr }) {
			continue
		}
		if w := weight(in.Pin, c.Server.Addr); best == nil || w > most {
			best, most = c, w
		}
	}
	return best
}

func weight(pin uint64, addr string) uint64 {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], pin)
	d := xxhash.New()
	_, _ = d.Write(raw[:])
	_, _ = d.WriteString(addr)
	return d.Sum64()
}

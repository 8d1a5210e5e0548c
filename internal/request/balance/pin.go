package balance

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// serversPerPinned is the number of servers of a service of which one takes pinned requests.
const serversPerPinned = 5

// pinned picks the untried server with the highest random weight (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). Daemons
// that know the same servers pick the same one, so load, location and ejection
// are ignored: they differ between daemons. A pinned request needs its server for itself, so few
// servers take them all, and the others are left to other requests.
func (t *Table) pinned(in Input) *directory.Candidate {
	var usable []*directory.Candidate
	for _, c := range t.candidates {
		if t.inArm(&in.Arm, c) && !t.leaving(c) {
			usable = append(usable, c)
		}
	}
	pin := in.Pin % uint64(max(1, (len(usable)+serversPerPinned-1)/serversPerPinned))
	var best *directory.Candidate
	var most uint64
	for _, c := range usable {
		if slices.ContainsFunc(in.Tried, func(o *directory.Candidate) bool { return o.Server.Addr == c.Server.Addr }) {
			continue
		}
		if w := rendezvousWeight(pin, c.Server.Addr); best == nil || w > most {
			best, most = c, w
		}
	}
	return best
}

func rendezvousWeight(pin uint64, addr string) uint64 {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], pin)
	d := xxhash.New()
	_, _ = d.Write(raw[:])
	_, _ = d.WriteString(addr)
	return d.Sum64()
}

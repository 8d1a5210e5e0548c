package allowance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// groupSize is the number of daemons that report to one aggregator.
	groupSize = 32
	// candidateCount is the number of daemons that are returned for a role: the first one holds
	// it, the others replace it while it cannot be reached.
	candidateCount = 3
)

// Daemon is a daemon that may hold a role.
type Daemon struct{ Name, Domain, Addr string }

// AggregatorsFor returns the candidates for the aggregator of the named daemon, best first. They
// are in its failure domain, so that the many reports of daemons stay within it. Daemons that
// know the same fleet select the same ones.
func AggregatorsFor(self, domain string, all []Daemon) []Daemon {
	local := make([]Daemon, 0, len(all))
	for _, d := range all {
		if d.Domain == domain {
			local = append(local, d)
		}
	}
	groups := uint64(max((len(local)+groupSize-1)/groupSize, 1))
	return rendezvous(local, domain, xxhash.Sum64String(self)%groups)
}

// LedgersFor returns the candidates for the ledger, best first.
func LedgersFor(all []Daemon) []Daemon { return rendezvous(all, "ledger", 0) }

// CandidatesFor returns the candidates for another role among daemons, best first.
func CandidatesFor(role string, daemons []Daemon) []Daemon { return rendezvous(daemons, role, 0) }

// rendezvous returns the daemons with the highest hashes for a role, highest first.
func rendezvous(daemons []Daemon, role string, number uint64) []Daemon {
	type candidate struct {
		Daemon
		weight uint64
	}
	salt := xxhash.Sum64String(role) + number
	var best []candidate
	for _, d := range daemons {
		c := candidate{d, mix(xxhash.Sum64String(d.Name) ^ salt)}
		i, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
		})
		if i < candidateCount {
			best = slices.Insert(best, i, c)
			best = best[:min(len(best), candidateCount)]
		}
	}
	result := make([]Daemon, len(best))
	for i, c := range best {
		result[i] = c.Daemon
	}
	return result
}

// mix is the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

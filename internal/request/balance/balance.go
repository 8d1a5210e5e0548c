// Package balance picks the backend server for one attempt: beside this daemon
// when it has room, then in the same failure domain, then the less loaded of
// two random candidates.
package balance

import (
	"math/rand/v2"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// Load tells how busy a candidate is thought to be, as requests per slot.
type Load interface {
	Of(server string) float64
}

// Input is what one pick depends on.
type Input struct {
	Candidates []*directory.Candidate
	// Self and Domain are this daemon's name and failure domain.
	Self   string
	Domain string
	// Tried are addresses of servers that this request was sent to already.
	Tried map[string]bool
	Load  Load
	Rand  *rand.Rand
}

// full is the load from which a server counts as having no room.
const full = 1.0

// Pick returns the candidate to use, or nil when every one was tried.
func Pick(in Input) *directory.Candidate {
	var local, near, all []*directory.Candidate
	for _, c := range in.Candidates {
		if in.Tried[c.Server.Addr] {
			continue
		}
		all = append(all, c)
		if c.Node.Domain == in.Domain {
			near = append(near, c)
		}
		if c.Node.Name == in.Self {
			local = append(local, c)
		}
	}
	for _, tier := range [][]*directory.Candidate{local, near} {
		if c := twoChoices(in, tier); c != nil && in.Load.Of(c.Server.Addr) < full {
			return c
		}
	}
	return twoChoices(in, all)
}

func twoChoices(in Input, tier []*directory.Candidate) *directory.Candidate {
	switch len(tier) {
	case 0:
		return nil
	case 1:
		return tier[0]
	}
	i := in.Rand.IntN(len(tier))
	j := in.Rand.IntN(len(tier) - 1)
	if j >= i {
		j++
	}
	if in.Load.Of(tier[j].Server.Addr) < in.Load.Of(tier[i].Server.Addr) {
		return tier[j]
	}
	return tier[i]
}

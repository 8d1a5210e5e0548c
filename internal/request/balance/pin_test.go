package balance

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// TestPinnedRequestsTakeAllServers guards against a service all of whose servers become idle in turn
// for requests that need one for themselves.
func TestPinnedRequestsTakeAllServers(t *testing.T) {
	for servers, want := range map[int]int{1: 1, 3: 1, 7: 2, 33: 7} {
		c := qt.New(t)
		var candidates []*directory.Candidate
		for i := range servers {
			candidates = append(candidates, candidateAt(fmt.Sprint("n", i), "d"))
		}
		table := tableAt("n0", candidates...)
		picked := map[*directory.Candidate]bool{}
		for pin := range uint64(1000) {
			first := table.Pick(Input{Now: now, Pin: pin + 1})
			picked[first] = true
			if servers > 1 {
				c.Assert(table.Pick(Input{Now: now, Pin: pin + 1, Tried: []*directory.Candidate{first}}), qt.Not(qt.Equals), first)
			}
		}
		c.Check(len(picked) <= want, qt.IsTrue, qt.Commentf("%d of %d servers", len(picked), servers))
	}
}

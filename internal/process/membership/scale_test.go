package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestJoin starts fleets at once, through one seed.
func TestJoin(t *testing.T) {
	for _, size := range []int{3, 12, 50, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			s := newSim(1, 1)
			for range size {
				s.start(s.add(min(size/3, 5)), 0)
			}
			took := time.Duration(0)
			var err error
			for took < 30*time.Second {
				s.run(500 * time.Millisecond)
				took += 500 * time.Millisecond
				if err = s.check(); err == nil {
					break
				}
			}
			c.Assert(err, qt.IsNil)
			c.Logf("%d daemons agree after %s; the seed received %d envelopes", size, took, s.nodes[0].received)
		})
	}
}

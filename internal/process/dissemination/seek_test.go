package dissemination

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestSeekingGoesOn checks that the daemons keep requesting other links during an outage of
// the sources, and that the rate of the whole fleet hardly depends on its size: at least one
// daemon looks for the leader in every second, so that the end of the outage is noticed.
func TestSeekingGoesOn(t *testing.T) {
	for _, size := range []int{10, 100, 500} {
		c := qt.New(t)
		var cores []*Core
		for i := range size {
			core := New(Config{Self: fmt.Sprint(i), Seed: uint64(i)}, fleet.Empty())
			core.SetFleetSize(size)
			cores = append(cores, core)
		}
		start := time.Unix(1000, 0)
		seeksPerSecond := map[int]int{}
		for tick := range 900 {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
			for _, core := range cores {
				for _, a := range core.Tick(now, nil) {
					if a.Seek {
						seeksPerSecond[tick/10]++
					}
				}
			}
		}
		for second := 6; second < 90; second++ {
			n := seeksPerSecond[second]
			c.Check(n >= 1 && n <= 40, qt.IsTrue, qt.Commentf("%d daemons, second %d: %d", size, second, n))
		}
	}
}

package spread

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestSeekingGoesOn holds that during an outage of the sources the daemons of a
// fleet look for other links all the time, as a whole about as often however many
// they are: an end of the outage is noticed in any second.
func TestSeekingGoesOn(t *testing.T) {
	for _, size := range []int{10, 100, 500} {
		c := qt.New(t)
		var fleetOf []*Core
		for i := range size {
			core := New(Config{Self: fmt.Sprint(i), Seed: uint64(i)}, fleet.Empty())
			core.SetFleet(size)
			fleetOf = append(fleetOf, core)
		}
		begin := time.Unix(1000, 0)
		perSecond := map[int]int{}
		for tick := range 900 {
			now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
			for _, core := range fleetOf {
				for _, a := range core.Tick(now, nil) {
					if a.Seek {
						perSecond[tick/10]++
					}
				}
			}
		}
		for second := 6; second < 90; second++ {
			n := perSecond[second]
			c.Check(n >= 1 && n <= 40, qt.IsTrue, qt.Commentf("%d daemons, second %d: %d", size, second, n))
		}
	}
}

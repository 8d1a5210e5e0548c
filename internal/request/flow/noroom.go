package flow

import (
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// minRoomInterval is the minimum interval over which retries are spread.
const minRoomInterval = 50 * time.Millisecond

// NoRoom reports whether no other server is worth an attempt after the current one was refused with
// code for lack of room, because recent reports say that all of them would refuse too. The request is
// useful for another useful. retryAfter is when room is expected, spread over an interval of the same
// length, earlier for more urgent priorities. It must be called before Refused, which then uses the
// failure domain that was drawn here.
func (c *Call) NoRoom(now time.Time, seed uint64, code result.Code, useful time.Duration, priority int) (retryAfter time.Duration, none bool) {
	if c.phase != attempting || c.reachedServer || (code != result.Overloaded && code != result.DeadlineTooShort) {
		return 0, false
	}
	until, none := c.service.Table.NoRoom(balance.Input{
		Now: now, Seed: seed, Tried: c.tried, Pin: c.request.Pin, Target: useful, Kind: c.request.Kind,
		Arm: c.request.RetryArm, Crossing: c.drawDomain(seed),
	})
	if !none {
		return 0, false
	}
	c.endDraw(false)
	// Half of the interval follows the priority, half is random.
	const priorities = manifest.LowestPriority + 1
	const randomSteps = 1 << 20
	rank := float64(min(max(priority, 0), manifest.LowestPriority)) / priorities
	random := float64(seed%randomSteps) / randomSteps
	interval := max(until, minRoomInterval)
	return until + time.Duration((rank+random)/2*float64(interval)), true
}

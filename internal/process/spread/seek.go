package spread

import "time"

// maxSeekInterval bounds the mean time between two requests for other links.
const maxSeekInterval = time.Minute

// seek asks for another link while the heartbeat is missed. Each daemon asks at
// times drawn at random, so seldom that the fleet as a whole asks once in
// Config.SeekShare: the first that finds the leader again brings its heartbeat to
// all the others.
func (c *Core) seek() {
	if !c.Stale(c.now) || c.now.Sub(c.start) <= c.cfg.StaleAfter {
		c.seekAt = time.Time{}
		return
	}
	if c.seekAt.IsZero() {
		c.seekAt = c.now.Add(c.seekPause())
	}
	if c.now.Before(c.seekAt) {
		return
	}
	c.seekAt = c.now.Add(c.seekPause())
	c.out = append(c.out, Action{Seek: true})
}

func (c *Core) seekPause() time.Duration {
	mean := min(max(c.cfg.SeekInterval, time.Duration(c.fleet)*c.cfg.SeekShare), maxSeekInterval)
	return time.Duration(c.rand.Int64N(int64(2*mean) + 1))
}

// SetFleet tells how many daemons there are.
func (c *Core) SetFleet(daemons int) { c.fleet = daemons }

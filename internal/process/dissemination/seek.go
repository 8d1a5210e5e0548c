package dissemination

import "time"

// maxSeekInterval bounds the mean time between two requests for other links.
const maxSeekInterval = time.Minute

// seek requests another link while no heartbeats arrive. Each daemon does so at random times,
// at a rate such that the whole fleet makes one request per Config.FleetSeekInterval on
// average. This is sufficient because the first daemon that finds the leader again forwards
// its heartbeat to all others.
func (c *Core) seek() {
	if !c.Stale(c.now) || c.now.Sub(c.start) <= c.cfg.StaleAfter {
		c.nextSeek = time.Time{}
		return
	}
	if c.nextSeek.IsZero() {
		c.nextSeek = c.now.Add(c.seekDelay())
	}
	if c.now.Before(c.nextSeek) {
		return
	}
	c.nextSeek = c.now.Add(c.seekDelay())
	c.actions = append(c.actions, Action{Seek: true})
}

// seekDelay returns a random time to the next request for another link.
func (c *Core) seekDelay() time.Duration {
	mean := min(max(c.cfg.SeekInterval, time.Duration(c.fleetSize)*c.cfg.FleetSeekInterval), maxSeekInterval)
	return time.Duration(c.rand.Int64N(int64(2*mean) + 1))
}

// SetFleetSize sets the number of known daemons.
func (c *Core) SetFleetSize(daemons int) { c.fleetSize = daemons }

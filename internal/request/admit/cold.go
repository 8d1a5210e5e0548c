package admit

import "time"

// coldShare is the fraction of a ticket's useful time that a request is assumed to take at a server of
// which nothing was measured. Half of UsefulShare leaves a ticket as much time to wait as to run, so that
// at most as many tickets wait as there are slots.
const coldShare = UsefulShare / 2

// cautiousTime returns the service time to expect for a ticket, given the measured one. After a start none
// was measured, and the first to be measured are the shortest. Until as many were measured as there are
// slots, the measured time counts in proportion, and the rest is an estimate from the useful time.
func (c *Core) cautiousTime(now time.Time, t *Ticket, measured time.Duration) time.Duration {
	if !c.cfg.Cautious || t.Useful.IsZero() || c.samples >= c.cfg.Slots {
		return measured
	}
	estimate := time.Duration(coldShare * float64(max(0, t.Useful.Sub(now))))
	share := float64(c.samples) / float64(c.cfg.Slots)
	return max(measured, estimate+time.Duration(share*float64(measured-estimate)))
}

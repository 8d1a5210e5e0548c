package daemon

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/spread"
)

// quorumLag is how long ago a leader may have been acknowledged by a majority
// at most: it checks each sourceElectionTicks for answers since the check
// before, so that it leads for less than two such periods without any.
const quorumLag = (2*sourceElectionTicks + sourceElectionTicks/2) * sourceTick

// lead tells the spread of versions about this source's leadership.
func (d *Daemon) lead(now time.Time) *spread.Lead {
	if d.source == nil {
		return nil
	}
	term, leads := d.source.Leads()
	if !leads {
		return nil
	}
	return &spread.Lead{Term: term, Version: d.source.Status().Version, Quorum: now.Add(-quorumLag)}
}

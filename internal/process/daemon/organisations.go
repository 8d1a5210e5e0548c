package daemon

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/bootclock"
)

const (
	// proofsPerRevocation is how many proofs a daemon requests within the time in which a
	// withdrawn API key must stop working.
	proofsPerRevocation = 5
	// maxProofInterval is the longest time between two requests for a proof.
	maxProofInterval = time.Second
	// keyValidityShare is the part of that time for which a proof is valid. The rest covers
	// the time from the check to the start of the request at the backend server.
	keyValidityShare = 0.9
)

// proofInterval returns the time between two requests for a proof that this daemon's version
// is the newest one; 0 means that none are needed.
func (d *Daemon) proofInterval() time.Duration {
	return min(d.settings.Organisations.RevokeWithin/proofsPerRevocation, maxProofInterval)
}

// keysCurrent reports whether the version in force was proven to be the newest one so recently
// that an API key that was withdrawn since may still be accepted.
func (d *Daemon) keysCurrent() bool {
	proven := d.mesh.Status().Proven
	validity := time.Duration(keyValidityShare * float64(d.settings.Organisations.RevokeWithin))
	return proven > 0 && bootclock.Now()-proven < validity
}

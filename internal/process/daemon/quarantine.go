package daemon

import (
	"fmt"
	"strconv"
	"time"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/result"
)

// fingerprintDigits is the length of a fingerprint in hexadecimal digits.
const fingerprintDigits = 16

// Quarantine implements operator.Backend.
func (d *Daemon) Quarantine() operator.QuarantineStatus {
	status := operator.QuarantineStatus{Requests: []operator.QuarantinedRequest{}}
	for _, s := range d.claims.suspects.Proven() {
		status.Requests = append(status.Requests, operator.QuarantinedRequest{
			Fingerprint: fmt.Sprintf("%0*x", fingerprintDigits, s.Fingerprint), Crashes: int(s.Crashes), Forgotten: time.UnixMilli(s.Until).UTC(),
		})
	}
	return status
}

// Release implements operator.Backend.
func (d *Daemon) Release(r operator.ReleaseRequest) (operator.QuarantineStatus, *result.Error) {
	fingerprint, err := strconv.ParseUint(r.Fingerprint, 16, 64)
	if err != nil || len(r.Fingerprint) != fingerprintDigits {
		return operator.QuarantineStatus{}, result.Errorf(result.BadRequest, "fingerprint: want %d hexadecimal digits, got %q", fingerprintDigits, r.Fingerprint)
	}
	if !d.claims.suspects.Release(fingerprint) {
		return operator.QuarantineStatus{}, result.Errorf(result.UnknownResource, "no request with the fingerprint %s is suspected", r.Fingerprint)
	}
	return d.Quarantine(), nil
}

package admit

import (
	"math"
	"time"
)

const (
	// usageDecay is the time in which the usage of an organisation loses two thirds of its weight.
	usageDecay = time.Second
	// usageRescale is the time after which usages are rescaled, which keeps them within the range
	// of a float64.
	usageRescale = 30 * usageDecay
	// negligibleUsage is the usage below which an organisation is forgotten.
	negligibleUsage = 1e-6
)

// usages holds the recent use of the slots by each organisation, in tickets started per weight.
// Usages are scaled by the exponential of the time since epoch, so that they decay without
// being updated (forward decay: Cormode, Shkapenyuk, Srivastava and Xu, 2009).
type usages struct {
	epoch time.Time
	// scaled is never negative. An organisation that is not contained has no usage.
	scaled map[string]float64
}

// record adds the start of a ticket.
func (u *usages) record(now time.Time, t *Ticket) {
	if t.Organisation == "" {
		return
	}
	if u.scaled == nil || now.Sub(u.epoch) > usageRescale {
		u.rescale(now)
	}
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	u.scaled[t.Organisation] += math.Exp(now.Sub(u.epoch).Seconds()/usageDecay.Seconds()) / weight
}

// rescale moves the epoch to now.
func (u *usages) rescale(now time.Time) {
	factor := math.Exp(-now.Sub(u.epoch).Seconds() / usageDecay.Seconds())
	rescaled := map[string]float64{}
	for name, usage := range u.scaled {
		if usage *= factor; usage > negligibleUsage {
			rescaled[name] = usage
		}
	}
	u.epoch, u.scaled = now, rescaled
}

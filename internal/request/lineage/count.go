package lineage

import (
	"math"
	"time"
)

// countDecay is the time in which what was counted loses two thirds of its weight.
const countDecay = 15 * time.Second

// decayingCount is an exponentially decaying count, with its value n at updatedAt.
type decayingCount struct {
	n         float64
	updatedAt time.Time
}

func (c decayingCount) valueAt(now time.Time) float64 {
	return c.n * math.Exp(-max(0, now.Sub(c.updatedAt).Seconds())/countDecay.Seconds())
}

func (c *decayingCount) add(now time.Time, n float64) {
	c.n, c.updatedAt = c.valueAt(now)+n, now
}

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// limitDuration is how long a server states a rate limit, and limitPause the mean time between
// two servers that begin to.
const (
	limitDuration = 9 * time.Second
	limitPause    = 2 * time.Second
	// serviceLimitShare is the probability that all servers of a service state a limit.
	serviceLimitShare = 0.2
)

// statedLimits are the rate limits that servers state, in requests per second.
var statedLimits = []float64{0, 0.5, 2.3, 5, 12.5, 40}

// LimitChange records that a boot of a server begins to state a rate limit, or ends to.
type LimitChange struct {
	Boot    string
	At      time.Time
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// limitStatement is the rate limit that a backend states.
type limitStatement struct{ perSecond float64 }

// setLimit makes the backend state a rate limit from now on; nil states none.
func (b *backend) setLimit(s *limitStatement) {
	b.mu.Lock()
	boot := b.boot
	b.mu.Unlock()
	change := LimitChange{Boot: boot, At: time.Now(), Limited: s != nil}
	if s != nil {
		change.PerSecond = s.perSecond
	}
	b.limit.Store(s)
	record(b.history, &b.history.Limits, change)
}

// writeStatements adds to a response what the server states about itself. Callers use
// headerServes to tell which boot stated it.
func (b *backend) writeStatements(h http.Header, boot string) {
	h.Set(headerServes, boot)
	if s := b.limit.Load(); s != nil {
		h.Set(headerLimit, fmt.Sprint(s.perSecond))
	}
	if b.leaving.Load() {
		h.Set(headerLeaving, "1")
	}
}

// startLimits makes servers state rate limits, which change and end, until ctx ends.
func (cl *cluster) startLimits(ctx context.Context) {
	random := rand.New(rand.NewPCG(cl.o.Seed, 17))
	cl.wait.Go(func() {
		for ctx.Err() == nil {
			cl.sleep(ctx, time.Duration(random.Int64N(int64(2*limitPause))))
			limited := []*backend{cl.backends[random.IntN(len(cl.backends))]}
			if random.Float64() < serviceLimitShare {
				limited = cl.backendsOf(limited[0].service)
			}
			for range 1 + random.IntN(2) {
				for _, b := range limited {
					b.setLimit(&limitStatement{perSecond: statedLimits[random.IntN(len(statedLimits))]})
				}
				cl.sleep(ctx, limitDuration)
			}
			for _, b := range limited {
				b.setLimit(nil)
			}
		}
	})
}

func (cl *cluster) backendsOf(service string) []*backend {
	var list []*backend
	for _, b := range cl.backends {
		if b.service == service {
			list = append(list, b)
		}
	}
	return list
}

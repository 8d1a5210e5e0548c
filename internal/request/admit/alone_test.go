package admit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Load of the replay of suspects: a service has lost servers, and the requests that were in progress
// there come again and have to run alone on one of the others.
const (
	aloneSlots    = 18
	aloneServers  = 3
	aloneTime     = 150 * time.Millisecond
	aloneTarget   = 500 * time.Millisecond
	aloneTimeout  = 800 * time.Millisecond
	aloneWait     = aloneTimeout - 2*aloneTime
	aloneSuspects = 34
	aloneLoad     = 0.7
	alonePeriod   = 6 * time.Second
	aloneSends    = 3
)

// playSuspects returns the parts of the callers' requests and of the suspects that are answered in time.
func playSuspects(seed uint64) (callers, suspects float64) {
	r := &replay{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), called: newReplayServers(aloneServers, false)}
	for _, s := range r.called {
		s.core = New(Config{Slots: aloneSlots, QueueMax: 4 * aloneSlots, Fixed: true})
	}
	start := r.now
	var offered, inTime, served float64
	r.offer(rand.New(rand.NewPCG(seed, 2)), start.Add(alonePeriod), func() float64 { return aloneLoad * aloneServers * aloneSlots / aloneTime.Seconds() }, func() {
		begin := r.now
		offered++
		t := Ticket{Kind: "caller", Priority: 5, Deadline: begin.Add(aloneTimeout), Useful: begin.Add(aloneTarget)}
		r.send(r.called, t, aloneServers, func(release func(time.Duration)) {
			took := r.vary(aloneTime)
			r.after(took, func() {
				release(took)
				if r.now.Sub(begin) <= aloneTarget {
					inTime++
				}
			})
		}, func() {})
	})
	for range aloneSuspects {
		r.after(time.Second+time.Duration(r.rand.Int64N(int64(time.Second))), func() { r.sendSuspect(aloneSends, func() { served++ }) })
	}
	r.play()
	return inTime / offered, served / aloneSuspects
}

// sendSuspect sends a suspect to the first server, and again a second after it was refused.
func (r *replay) sendSuspect(sends int, served func()) {
	t := Ticket{Kind: "caller", Priority: 5, Deadline: r.now.Add(aloneWait), Useful: r.now.Add(aloneTarget), Alone: true}
	r.sendTo(r.called[0], t, func(release func(time.Duration)) {
		took := r.vary(aloneTime)
		r.after(took, func() { release(took); served() })
	}, func(Decision) {
		if sends > 1 {
			r.after(time.Second, func() { r.sendSuspect(sends-1, served) })
		}
	})
}

// TestSuspectsTakeTheServersOfOthers checks that requests that run alone leave the service to others: a
// server becomes idle once for all that wait there, and they wait at one server.
func TestSuspectsTakeTheServersOfOthers(t *testing.T) {
	const seeds = 10
	var callers, suspects float64
	for seed := range uint64(seeds) {
		c, s := playSuspects(seed)
		callers, suspects = callers+c/seeds, suspects+s/seeds
	}
	t.Logf("in time: %.3f of the callers' requests, %.3f of the suspects", callers, suspects)
	if callers < 0.85 || suspects < 0.6 {
		t.Error("want 0.85 and 0.6 at least")
	}
}

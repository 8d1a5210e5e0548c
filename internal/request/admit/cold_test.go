package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load of the replay of a cold start: all servers start at once, are slow at first, and get the requests
// that callers held back in addition to the usual ones.
const (
	coldServers = 60
	coldLoad    = 0.7 // of the capacity, once the servers are warm
	coldTime    = 140 * time.Millisecond
	coldTarget  = 800 * time.Millisecond
	coldTimeout = 2 * time.Second
	slowTime    = 3 * time.Second // servers take twice as long until then
	coldEnd     = 6 * time.Second
	heldBack    = time.Second // of the usual requests come within the first 50 ms
)

// playColdStart returns the requests that were answered in time, as parts of those sent, for each half
// second. If mixed is set, a quarter of the requests takes 13 times as long as the others.
func playColdStart(seed uint64, mixed, cautious bool) []float64 {
	r := &replay{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 4)), called: newReplayServers(coldServers, false)}
	for _, s := range r.called {
		s.core.cfg.Cautious = cautious
	}
	start, rate := r.now, coldLoad*coldServers*replaySlots/coldTime.Seconds()
	const step = 500 * time.Millisecond
	sent, inTime := make([]float64, coldEnd/step), make([]float64, coldEnd/step)
	request := func() {
		begin := r.now
		i := begin.Sub(start) / step
		sent[i]++
		t := Ticket{Kind: "k", Deadline: begin.Add(coldTimeout), Useful: begin.Add(coldTarget)}
		r.send(r.called, t, replayAttempts, func(release func(time.Duration)) {
			took := r.vary(coldTime)
			if mixed {
				took = r.vary(coldTime / 4)
				if r.rand.IntN(4) == 0 {
					took = r.vary(13 * coldTime / 4)
				}
			}
			if r.now.Sub(start) < slowTime {
				took *= 2
			}
			r.after(took, func() {
				release(took)
				if r.now.Sub(begin) <= coldTarget {
					inTime[i]++
				}
			})
		}, func() {})
	}
	for range int(rate * heldBack.Seconds()) {
		r.after(time.Duration(r.rand.Float64()*float64(50*time.Millisecond)), request)
	}
	r.offer(rand.New(rand.NewPCG(seed, 5)), start.Add(coldEnd), func() float64 { return rate }, request)
	r.play()
	for i := range sent {
		inTime[i] /= sent[i]
	}
	return inTime
}

// goodputAfterBurst returns the mean goodput of the time from half a second to three seconds after the start.
func goodputAfterBurst(steps []float64) float64 {
	sum := 0.0
	for _, goodput := range steps[1:6] {
		sum += goodput
	}
	return sum / 5
}

// TestColdStart checks that servers of which nothing was measured queue no more than they can answer in
// time, also if a quarter of the requests takes 13 times as long as the others, and that nothing is lost once
// they are warm.
func TestColdStart(t *testing.T) {
	c := qt.New(t)
	const minGain = 0.12
	for _, mixed := range []bool{false, true} {
		for seed := range uint64(2) {
			before, after := playColdStart(seed, mixed, false), playColdStart(seed, mixed, true)
			gain := goodputAfterBurst(after) - goodputAfterBurst(before)
			t.Logf("mixed %t, seed %d, each half second: before %.2f, after %.2f; gain %.3f", mixed, seed, before, after, gain)
			c.Check(gain >= minGain, qt.IsTrue, qt.Commentf("%.3f", gain))
			for i := range after {
				c.Check(after[i] >= before[i]-0.1, qt.IsTrue, qt.Commentf("half second %d", i))
			}
		}
	}
}

// TestCautiousUntilMeasured checks that the queue is as long as the number of slots while nothing is measured,
// that measurements replace the estimate, and that nothing changes unless it is configured.
func TestCautiousUntilMeasured(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	accepted := func(core *Core, useful time.Time) int {
		n := 0
		for id := range uint64(100) {
			d, refused := core.CheckRefusal(now, &Ticket{ID: id, Deadline: now.Add(time.Hour), Useful: useful})
			if refused {
				c.Check(d.Reason, qt.Equals, Late)
				c.Check(d.RetryAfter >= minLateRetryAfter, qt.IsTrue)
				break
			}
			core.Arrive(now, Ticket{ID: id, Deadline: now.Add(time.Hour), Useful: useful})
			n++
		}
		return n
	}
	target := now.Add(400 * time.Millisecond)
	for _, test := range []struct {
		cautious bool
		useful   time.Time
		want     int
	}{
		{true, target, 4 + 5}, // of those that wait, the last one starts when the server has ended four others
		{false, target, 100},
		{true, time.Time{}, 100},
		{true, now.Add(-time.Hour), 4},
	} {
		core := New(Config{Slots: 4, QueueMax: 200, Fixed: true, Cautious: test.cautious})
		c.Check(accepted(core, test.useful), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
	core := New(Config{Slots: 4, QueueMax: 200, Fixed: true, Cautious: true})
	for range 4 {
		core.Arrive(now, Ticket{Deadline: now.Add(time.Hour)})
		core.Finish(now, "", 10*time.Millisecond)
	}
	c.Check(accepted(core, target), qt.Equals, 4+77, qt.Commentf("190 ms to wait, 10 ms each, four at a time"))
	none := New(Config{Cautious: true})
	c.Check(none.cautiousTime(now, &Ticket{Useful: target}, 0), qt.Equals, time.Duration(0), qt.Commentf("no slots"))
}

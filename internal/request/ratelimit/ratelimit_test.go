package ratelimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	c := qt.New(t)
	limited := func(perSecond float64) Statement { return Statement{Kind: Limited, PerSecond: perSecond} }
	for _, test := range []struct {
		values []string
		want   Statement
	}{
		{nil, Statement{}},
		{[]string{"2.3"}, limited(2.3)},
		{[]string{" 40 "}, limited(40)},
		{[]string{"0"}, limited(0)},
		{[]string{"40", "2.3"}, limited(2.3)},
		{[]string{""}, Statement{Kind: Unreadable}},
		{[]string{"-1"}, Statement{Kind: Unreadable}},
		{[]string{"NaN"}, Statement{Kind: Unreadable}},
		{[]string{"Inf"}, Statement{Kind: Unreadable}},
		{[]string{"2,3"}, Statement{Kind: Unreadable}},
		{[]string{"2.3", "many"}, Statement{Kind: Unreadable}},
	} {
		c.Check(Parse(test.values), qt.Equals, test.want, qt.Commentf("%q", test.values))
	}
}

// observation is a response that was sent and arrived at the given seconds.
type observation struct {
	sent, arrived int
	statement     Statement
}

// TestResponsesOutOfOrder checks which of several responses determines the limit.
func TestResponsesOutOfOrder(t *testing.T) {
	none := Statement{}
	limit := func(perSecond float64) Statement { return Statement{Kind: Limited, PerSecond: perSecond} }
	for _, test := range []struct {
		name      string
		responses []observation
		want      float64
	}{
		{"none", []observation{{0, 1, none}}, 0},
		{"a limit applies at once", []observation{{0, 1, none}, {0, 2, limit(5)}}, 5},
		{"a lower limit applies at once", []observation{{0, 1, limit(5)}, {0, 2, limit(3)}}, 3},
		{"a higher limit that may be older does not apply", []observation{{0, 2, limit(5)}, {1, 3, limit(9)}}, 5},
		{"a higher limit that is newer applies", []observation{{0, 2, limit(5)}, {3, 4, limit(9)}}, 9},
		{"no limit that may be older does not lift it", []observation{{0, 2, limit(5)}, {1, 3, none}}, 5},
		{"no limit that is newer lifts it", []observation{{0, 2, limit(5)}, {3, 4, none}}, 0},
		{"a restated limit is newer", []observation{{0, 2, limit(5)}, {0, 4, limit(5)}, {3, 5, none}}, 5},
		{"an unreadable limit changes nothing", []observation{{0, 1, limit(5)}, {2, 3, Statement{Kind: Unreadable}}}, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			at := func(second int) time.Time { return time.Unix(int64(1000+second), 0) }
			var l Limiter
			for _, r := range test.responses {
				l.Observe(at(r.sent), at(r.arrived), r.statement)
			}
			c.Check(l.Limit(), qt.Equals, test.want)
		})
	}
}

// TestRateIsKept plays random requests against a limit that changes, freezes included. In no
// window may more requests start than the highest limit in it allows, and the bursts.
func TestRateIsKept(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		now := time.Unix(1000, 0)
		perSecond := rapid.Float64Range(0, 50).Draw(t, "limit")
		l.Observe(now, now, Statement{Kind: Limited, PerSecond: perSecond})
		var starts []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 50).Draw(t, "event") {
			case 0:
				now = now.Add(3 * time.Second)
			case 1:
				l.Observe(now, now, Statement{Kind: Limited, PerSecond: perSecond / 2})
				l.Observe(now.Add(1), now.Add(1), Statement{Kind: Limited, PerSecond: perSecond})
			}
			if l.Wait(now, 1) == 0 {
				l.Take(now)
				starts = append(starts, now)
			}
		}
		limit := max(perSecond, minPerSecond)
		allowed := limit*window.Seconds() + float64(Burst(limit)) + 1e-6
		for i, first := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(first) < window {
					n++
				}
			}
			if float64(n) > allowed {
				t.Fatalf("%d requests in %s, %.1f allowed", n, window, allowed)
			}
		}
	})
}

// TestAdoptedLimit checks that a limit which another daemon knew counts until the server itself
// is heard.
func TestAdoptedLimit(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	limit := func(perSecond float64) Statement { return Statement{Kind: Limited, PerSecond: perSecond} }
	var l Limiter
	c.Assert(l.Adopt(now, Statement{}), qt.IsFalse)
	c.Assert(l.Adopt(now, limit(9)), qt.IsTrue)
	c.Assert(l.Adopt(now, limit(5)), qt.IsTrue)
	c.Assert(l.Adopt(now, limit(7)), qt.IsFalse)
	c.Assert(l.Limit(), qt.Equals, 5.0)
	c.Assert(l.Observe(now.Add(1), now.Add(2), Statement{}), qt.IsTrue)
	c.Assert(l.Adopt(now, limit(3)), qt.IsFalse)
	c.Assert(l.Limit(), qt.Equals, 0.0)
}

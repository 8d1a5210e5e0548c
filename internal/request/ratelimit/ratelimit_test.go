package ratelimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
		limited   bool
	}{
		{"none", []observation{{0, 1, none}}, 0, false},
		{"a limit applies at once", []observation{{0, 1, none}, {0, 2, limit(5)}}, 5, true},
		{"a lower limit applies at once", []observation{{0, 1, limit(5)}, {0, 2, limit(3)}}, 3, true},
		{"a higher limit that may be older does not apply", []observation{{0, 2, limit(5)}, {1, 3, limit(9)}}, 5, true},
		{"a higher limit that is newer applies", []observation{{0, 2, limit(5)}, {3, 4, limit(9)}}, 9, true},
		{"no limit that may be older does not lift it", []observation{{0, 2, limit(5)}, {1, 3, none}}, 5, true},
		{"no limit that is newer lifts it", []observation{{0, 2, limit(5)}, {3, 4, none}}, 0, false},
		{"a restated limit is newer", []observation{{0, 2, limit(5)}, {0, 4, limit(5)}, {3, 5, none}}, 5, true},
		{"an unreadable limit changes nothing", []observation{{0, 1, limit(5)}, {2, 3, Statement{Kind: Unreadable}}}, 5, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			at := func(second int) time.Time { return time.Unix(int64(1000+second), 0) }
			var l Limiter
			for _, r := range test.responses {
				l.Observe(at(r.sent), at(r.arrived), r.statement)
			}
			perSecond, limited := l.Limit()
			c.Check(limited, qt.Equals, test.limited)
			c.Check(perSecond, qt.Equals, test.want)
		})
	}
}

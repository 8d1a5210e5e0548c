package speed

import (
	"math"
	"time"
)

// Means holds the usual time of each kind of request at a server of slowness 1, as learned by one
// daemon from the responses of all servers of a service. The zero value knows nothing. It is not
// safe for concurrent use.
type Means struct {
	byKind times
	// all is the usual time of all kinds in their present mix.
	all kindTime
	// slowness is the usual slowness over the responses. Times are scaled so that it approaches
	// 1; otherwise all times and all slownesses could drift in opposite directions.
	slowness usual
}

// Record adds the time that a request took at a server, as measured by the daemon beside it.
// slowness is that of the server; 0 if unknown. Servers of unknown slowness count only until the kind
// and the slowness of another server are known.
func (m *Means) Record(now time.Time, kind string, took time.Duration, slowness float64) {
	if !isTime(took) || kind == "" {
		return
	}
	if m.byKind == nil {
		m.byKind = times{}
	}
	_, known := m.byKind.get(kind)
	if isPositive(slowness) {
		m.slowness.recordUpTo(now, math.Log(BoundSlowness(slowness)), math.Inf(1))
	} else if known && m.slowness.known() {
		return
	}
	seconds := took.Seconds() / BoundSlowness(slowness) * math.Exp(m.slowness.value)
	m.byKind.record(now, kind, seconds)
	m.all.record(now, math.Log(seconds))
	m.all.seconds = math.Exp(m.all.value)
}

// Time returns the usual time of a kind at a server of slowness 1, or 0 if it is unknown.
func (m *Means) Time(kind string) time.Duration {
	seconds, _ := m.byKind.get(kind)
	return duration(seconds)
}

// Expected returns the expected time of a kind at a server, and of a request that waits there, of
// which the kind is unknown. ok is false if the kind is unknown.
func (m *Means) Expected(kind string, slowness, contention float64) (own, other time.Duration, ok bool) {
	seconds, ok := m.byKind.get(kind)
	factor := BoundSlowness(slowness) * BoundContention(contention)
	return duration(seconds * factor), duration(m.all.seconds * factor), ok
}

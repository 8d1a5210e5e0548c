package canary

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Judge compares the target version with the base version, at the same time and under the
// same load. The zero Judge is ready to use. It is not safe for concurrent use.
type Judge struct {
	// Alarm is the evidence at which the target version is called bad; 0 means the
	// constant Alarm.
	Alarm  float64
	routes map[string]*routeTest
	// pooled adds up the evidence of all routes, each relative to what is usual on that
	// route, because the two versions receive different mixes of routes.
	pooled sums
}

// Update evaluates the counts so far and returns why the target version is bad, or "".
func (j *Judge) Update(tally *Tally) string {
	if j.routes == nil {
		j.routes = map[string]*routeTest{}
		j.Alarm = cmp.Or(j.Alarm, Alarm)
	}
	var reasons []string
	servers := maps.Clone(tally.Servers)
	var evidence sums
	for _, name := range slices.Sorted(maps.Keys(tally.Routes)) {
		pair, t := tally.Routes[name], j.routes[name]
		if t == nil {
			t = &routeTest{}
			j.routes[name] = t
		}
		evidence = evidence.plus(t.update(pair, j.Alarm, servers))
		if why := t.verdict(j.Alarm, servers); why != "" {
			reasons = append(reasons, fmt.Sprintf("route %s: %s (%d of %d answers failed there, before %.0f of %.0f)",
				name, why, pair.Target.Failed, pair.Target.Answers, t.failed, t.answers))
		}
	}
	j.pooled.add(evidence, j.Alarm, servers)
	if why := j.pooled.verdict(j.Alarm, servers); why != "" {
		reasons = append(reasons, "all routes: "+why)
	}
	slices.Sort(reasons)
	return strings.Join(reasons, "; ")
}

// EvidenceRatio returns how close the evidence is to calling the target version bad, from 0 to
// 1.
func (j *Judge) EvidenceRatio() float64 {
	highest := j.pooled.highest()
	for _, t := range j.routes {
		highest = math.Max(highest, t.highest())
	}
	return math.Min(highest/cmp.Or(j.Alarm, Alarm), 1)
}

// isSlow reports whether an answer took longer than almost all of the base version's.
func (j *Judge) isSlow(route string, took time.Duration) bool {
	t := j.routes[route]
	if t == nil {
		return false
	}
	slowBucket, _, known := t.slowThreshold()
	return known && bucketOf(took) > slowBucket
}

// String returns the evidence for logs.
func (j *Judge) String() string {
	parts := []string{"all " + j.pooled.String()}
	for name, t := range j.routes {
		parts = append(parts, name+" "+t.String())
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

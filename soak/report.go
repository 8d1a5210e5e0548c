package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is what came of a run.
type Report struct {
	Seed    uint64
	Dir     string
	Broken  []string
	history *History
}

// shown is how many broken promises the text lists.
const shown = 20

// Text is the report for people.
func (r *Report) Text() string {
	var b strings.Builder
	h := r.history
	count := map[string]int{}
	for i := range h.Sent {
		count[outcome(&h.Sent[i])]++
	}
	fmt.Fprintf(&b, "seed %d: %d requests, %d served, %d refused, %d failed; %d runs, %d orders, %d faults\n",
		r.Seed, len(h.Sent), count["served"], count["refused"], count["failed"], len(h.Ran), len(h.Orders), len(h.Faults))
	for i, line := range r.Broken {
		if i == shown {
			fmt.Fprintf(&b, "and %d more\n", len(r.Broken)-shown)
			break
		}
		fmt.Fprintln(&b, "BROKEN", line)
	}
	fmt.Fprintf(&b, "timeline: %s/timeline.svg\n", r.Dir)
	return b.String()
}

func outcome(s *Sent) string {
	switch {
	case s.Status/100 == 2:
		return "served"
	case promisesNotRun(s.Status) || s.Unread:
		return "refused"
	}
	return "failed"
}

// The timeline's sizes, in pixels.
const (
	perSecond = 20
	plotHigh  = 200
	faultHigh = 10
)

// writeTimeline draws faults against what was served, refused and failed.
func (r *Report) writeTimeline(path string) error {
	h := r.history
	seconds := int(h.End.Sub(h.Begin)/time.Second) + 1
	bins := map[string][]int{"served": make([]int, seconds), "refused": make([]int, seconds), "failed": make([]int, seconds)}
	most := 1
	for i := range h.Sent {
		if at := int(h.Sent[i].At.Sub(h.Begin) / time.Second); at >= 0 && at < seconds {
			list := bins[outcome(&h.Sent[i])]
			list[at]++
			most = max(most, list[at])
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-size="9">`+"\n", seconds*perSecond+200, plotHigh+20+faultHigh*(len(h.Faults)+1))
	for name, colour := range map[string]string{"served": "green", "refused": "orange", "failed": "red"} {
		var points strings.Builder
		for at, n := range bins[name] {
			fmt.Fprintf(&points, "%d,%d ", at*perSecond, plotHigh-n*plotHigh/most)
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="%s"><title>%s</title></polyline>`+"\n", colour, points.String(), name)
	}
	for i, f := range h.Faults {
		x, y := f.At.Sub(h.Begin).Seconds()*perSecond, plotHigh+20+i*faultHigh
		wide := max(f.Until.Sub(f.At).Seconds()*perSecond, 2)
		fmt.Fprintf(&b, `<rect x="%.0f" y="%d" width="%.0f" height="%d" fill="grey"/><text x="%.0f" y="%d">%s %s</text>`+"\n",
			x, y, wide, faultHigh-2, x+wide+2, y+faultHigh-2, f.Kind, f.Target)
	}
	b.WriteString("</svg>\n")
	return errors.Wrap(os.WriteFile(path, []byte(b.String()), 0o600), "timeline")
}

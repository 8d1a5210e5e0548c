package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Dir        string
	Violations []string
	history    *History
}

// maxListed is the largest number of broken promises that Text lists.
const maxListed = 20

// Text returns the report as plain text.
func (r *Report) Text() string {
	var b strings.Builder
	h := r.history
	count, codes := map[string]int{}, map[string]int{}
	lateness := -requestDeadline
	for i := range h.Sent {
		count[outcome(&h.Sent[i])]++
		codes[h.Sent[i].Code]++
		if s := &h.Sent[i]; s.Status != 0 && strings.HasPrefix(s.Path, pathCalled) {
			lateness = max(lateness, s.Ended.Sub(s.At)-s.Deadline)
		}
	}
	fmt.Fprintf(&b, "seed %d: %d requests, %d served, %d refused, %d failed; %d runs, %d orders, %d faults\n",
		r.Seed, len(h.Sent), count["served"], count["refused"], count["failed"], len(h.Runs), len(h.Changes), len(h.Faults))
	delete(codes, "") // no answer
	fmt.Fprintf(&b, "latest answer to a call: %s after its deadline\n", lateness.Round(time.Millisecond))
	fmt.Fprintf(&b, "result codes: %s\n", strings.Trim(fmt.Sprint(codes), "map[]"))
	for i, line := range r.Violations {
		if i == maxListed {
			fmt.Fprintf(&b, "and %d more\n", len(r.Violations)-maxListed)
			break
		}
		fmt.Fprintln(&b, "BROKEN", line)
	}
	fmt.Fprintf(&b, "timeline: %s/timeline.svg\n", r.Dir)
	return b.String()
}

func outcome(s *SentRequest) string {
	switch {
	case s.Status/100 == 2:
		return "served"
	case isNotRunStatus(s.Status) || s.NotConnected:
		return "refused"
	}
	return "failed"
}

// The dimensions of the timeline, in pixels.
const (
	pixelsPerSecond = 20
	plotHeight      = 200
	faultHeight     = 10
)

// writeTimeline draws the faults and the requests served, refused and failed each second.
func (r *Report) writeTimeline(path string) error {
	h := r.history
	seconds := int(h.End.Sub(h.Begin)/time.Second) + 1
	bins := map[string][]int{"served": make([]int, seconds), "refused": make([]int, seconds), "failed": make([]int, seconds)}
	maxCount := 1
	for i := range h.Sent {
		if at := int(h.Sent[i].At.Sub(h.Begin) / time.Second); at >= 0 && at < seconds {
			list := bins[outcome(&h.Sent[i])]
			list[at]++
			maxCount = max(maxCount, list[at])
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-size="9">`+"\n", seconds*pixelsPerSecond+200, plotHeight+20+faultHeight*(len(h.Faults)+1))
	for name, colour := range map[string]string{"served": "green", "refused": "orange", "failed": "red"} {
		var points strings.Builder
		for at, n := range bins[name] {
			fmt.Fprintf(&points, "%d,%d ", at*pixelsPerSecond, plotHeight-n*plotHeight/maxCount)
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="%s"><title>%s</title></polyline>`+"\n", colour, points.String(), name)
	}
	for i, f := range h.Faults {
		x, y := f.At.Sub(h.Begin).Seconds()*pixelsPerSecond, plotHeight+20+i*faultHeight
		width := max(f.Until.Sub(f.At).Seconds()*pixelsPerSecond, 2)
		fmt.Fprintf(&b, `<rect x="%.0f" y="%d" width="%.0f" height="%d" fill="grey"/><text x="%.0f" y="%d">%s %s</text>`+"\n",
			x, y, width, faultHeight-2, x+width+2, y+faultHeight-2, f.Kind, f.Target)
	}
	b.WriteString("</svg>\n")
	return errors.Wrap(os.WriteFile(path, []byte(b.String()), 0o600), "write timeline")
}

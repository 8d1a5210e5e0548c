package gateway

import (
	"fmt"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

const (
	// maxLoggedSuspects is the maximum number of requests in one field of a crash's log line.
	maxLoggedSuspects = 32
	// trialLinesPerSecond bounds the log lines about quarantined requests that run.
	trialLinesPerSecond = 10
)

// QuarantineCounters counts the decisions of a Quarantine since the daemon started.
type QuarantineCounters struct {
	// Crashes counts the crashes of backend servers of this instance.
	Crashes uint64
	// Suspected counts the requests in progress at these crashes, Proven those of them that ran
	// alone, Cleared the suspects that ended well here, and Evicted the reports that were dropped
	// because there were too many.
	Suspected, Proven, Cleared, Evicted uint64
	// Refused counts the decisions to refuse a request. Excused and Lapsed count those to run one
	// that had crashed a server while it ran alone: because other servers crashed at the same
	// time, or because its refusal had ended.
	Refused, Excused, Lapsed uint64
}

// Counters returns the counters.
func (q *Quarantine) Counters() QuarantineCounters {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counters
}

// reportEvents logs and counts the events of the core.
func (q *Quarantine) reportEvents() {
	for _, e := range q.core.TakeEvents() {
		switch e.Kind {
		case quarantine.Crashed:
			q.counters.Crashes++
			q.counters.Suspected += uint64(len(e.Requests))
			q.reportCrash(e)
		case quarantine.CrashedElsewhere:
			r := e.Requests[0]
			q.log.Info("backend server of another daemon crashed under a request", fields(r, "alone", r.Alone)...)
		case quarantine.Cleared:
			q.counters.Cleared++
			q.log.Info("suspect request ended well and is cleared", fields(e.Requests[0])...)
		case quarantine.Evicted:
			q.counters.Evicted++
			q.log.Info("report on a suspect request was dropped; there are too many", fields(e.Requests[0])...)
		}
	}
}

func (q *Quarantine) reportCrash(e quarantine.Event) {
	proven := false
	for _, r := range e.Requests {
		if r.Alone && r.Crashes > 1 {
			proven = true
			q.counters.Proven++
			q.log.Info("backend server crashed by a request in isolation; the request is quarantined", fields(r,
				"server", e.Server, "age", r.Age, "in_progress", describe(e.Requests), "spared", describe(e.Spared))...)
		}
	}
	if !proven {
		q.log.Info("backend server crashed; its requests are suspects and run in isolation next",
			"server", e.Server, "requests", len(e.Requests), "suspects", describe(e.Requests), "spared", describe(e.Spared))
	}
}

// describe returns the fingerprint, method, path and age of up to maxLoggedSuspects requests.
func describe(requests []quarantine.Blamed) []string {
	texts := []string{}
	for _, r := range requests[:min(len(requests), maxLoggedSuspects)] {
		text := fmt.Sprintf("%s %s %s %s", formatFingerprint(r.Fingerprint), r.Method, r.Path, r.Age)
		if r.Abandoned {
			text += " abandoned"
		}
		texts = append(texts, text)
	}
	return texts
}

// reportVerdict logs and counts the verdict on a request that has crashed a server while it ran
// alone.
func (q *Quarantine) reportVerdict(v quarantine.Verdict, id *quarantine.Identity) {
	why := "the refusal has ended"
	switch {
	case v.Mode == quarantine.Refused:
		q.counters.Refused++
		return
	case v.Crashes <= 1:
		return
	case v.Excused:
		q.counters.Excused++
		why = "other servers crashed at the same time"
	default:
		q.counters.Lapsed++
	}
	if q.trialLines.Allow() {
		q.log.Info("quarantined request runs in isolation", "fingerprint", formatFingerprint(id.Fingerprint()),
			"mesh", id.Mesh, "method", id.Method, "path", id.Path, "origin", id.Origin, "crashes", v.Crashes, "why", why)
	}
}

func formatFingerprint(f quarantine.Fingerprint) string { return fmt.Sprintf("%016x", uint64(f)) }

// fields returns the log fields about a request, followed by others.
func fields(r quarantine.Blamed, others ...any) []any {
	return append([]any{
		"fingerprint", formatFingerprint(r.Fingerprint), "mesh", r.Mesh, "method", r.Method, "path", r.Path,
		"origin", r.Origin, "crashes", r.Crashes,
	}, others...)
}

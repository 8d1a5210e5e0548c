package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

const (
	// reportTime is the time after which all daemons know of a crash.
	reportTime = 3 * time.Second
	// maxLateCrashes is the number of servers that a request may crash later than reportTime after
	// the third.
	maxLateCrashes = 3
)

// crashingSends sends requests that crash every server which runs them, one after the other and each
// at another daemon, and returns the times of the crashes. The fleet is told of each crash.
func crashingSends(f *fleet, interval, duration time.Duration, requests ...quarantine.Identity) []time.Time {
	var crashes []time.Time
	for i := 0; f.now.Before(start.Add(duration)); i++ {
		id := requests[i%len(requests)]
		core := f.cores[daemons[i%len(daemons)]]
		v := core.Judge(f.now, &id)
		if v.Renew {
			core.Renew(f.now, &id)
		}
		if v.Mode != quarantine.Refused {
			run := core.Begin(f.now, "server", id, v.Mode == quarantine.Alone)
			core.End(f.now, "server", run, quarantine.ConnectionLost, false)
			crashes = append(crashes, f.now)
		}
		f.spread()
		f.now = f.now.Add(interval)
	}
	return crashes
}

// late returns the number of crashes later than reportTime after the third.
func late(crashes []time.Time) int {
	n := 0
	for _, at := range crashes {
		if len(crashes) > 2 && at.After(crashes[2].Add(reportTime)) {
			n++
		}
	}
	return n
}

// TestCrashingRequestThatKeepsComingIsRunAgain guards against a request that is sent all the time and
// crashes one more server whenever its refusal ends.
func TestCrashingRequestThatKeepsComingIsRunAgain(t *testing.T) {
	for _, interval := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		t.Run(interval.String(), func(t *testing.T) {
			crashes := crashingSends(newFleet(), interval, 24*time.Hour, identity("culprit"))
			t.Logf("%d crashes in a day", len(crashes))
			qt.Check(t, late(crashes) <= maxLateCrashes, qt.IsTrue, qt.Commentf("%d late crashes", late(crashes)))
		})
	}
}

// TestCrashingRequestOfSeveralServicesIsNewForEach guards against a request that crashes servers
// anew for each service that sends it.
func TestCrashingRequestOfSeveralServicesIsNewForEach(t *testing.T) {
	var requests []quarantine.Identity
	for i := range 4 {
		id := identity("culprit")
		id.Origin = fmt.Sprint("service", i)
		requests = append(requests, id)
	}
	crashes := crashingSends(newFleet(), 2*time.Second, 10*time.Minute, requests...)
	t.Logf("%d crashes", len(crashes))
	qt.Check(t, late(crashes) <= maxLateCrashes, qt.IsTrue, qt.Commentf("%d late crashes", late(crashes)))
}

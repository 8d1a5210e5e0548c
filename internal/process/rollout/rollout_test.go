package rollout_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

// seeds is the number of seeds to simulate for each scenario; manual runs use 200.
var seeds = flag.Int("rollout.seeds", 1, "seeds of each simulated roll-out")

// targetVersions are the simulated target versions, good and bad ones.
var targetVersions = map[string]versionFault{
	"good":             {},
	"bad at once 3%":   {share: 0.03},
	"bad at once 10%":  {share: 0.1},
	"bad at once 50%":  {share: 0.5},
	"bad later 10%":    {share: 0.1, from: 0.3},
	"bad later 50%":    {share: 0.5, from: 0.4},
	"bad under load":   {share: 0.3, loaded: 0.75},
	"bad on one route": {share: 0.1, route: "transfer"},
	"slow 10%":         {share: 0.1, slow: 4},
	"slow 50%":         {share: 0.5, slow: 4},
}

// disturbances are conditions that may be mistaken for a bad version, or hide one.
var disturbances = map[string]disturbance{
	"calm":                {},
	"cold new servers":    {cold: 3 * time.Second},
	"grey servers":        {greyShare: 0.15, greyRate: 0.46, greyAt: 2 * time.Second, greyFor: 5 * time.Second},
	"all answers lossy":   {greyShare: 1, greyRate: 0.05, greyAt: time.Second, greyFor: 5 * time.Second},
	"old ones grey":       {baseGreyRate: 0.1, greyAt: 2 * time.Second, greyFor: 5 * time.Second},
	"slow servers":        {slowShare: 0.15, slowBy: 3.7},
	"burst":               {burst: 1.2},
	"leader lost early":   {leaderLost: []time.Duration{2 * time.Second}},
	"leader lost late":    {leaderLost: []time.Duration{7 * time.Second}},
	"grey before the end": {greyShare: 0.15, greyRate: 0.46, greyAt: 6500 * time.Millisecond},
	"just started":        {justStarted: true},
	"daemons cut off":     {isolatedShare: 0.05, isolatedAt: 5 * time.Second},
}

// serviceProfiles are the simulated services.
var serviceProfiles = map[string]func(seed uint64) scenario{
	"large": defaultScenario,
	"small": func(seed uint64) scenario {
		sc := defaultScenario(seed)
		sc.servers, sc.perSecond, sc.work, sc.timeout = 14, 551, 150*time.Millisecond, 1500*time.Millisecond
		sc.speeds, sc.routes = []float64{0.6, 1, 1.4}, map[string]float64{"lookup": 0.88, "transfer": 0.12}
		return sc
	},
	"few requests": func(seed uint64) scenario {
		sc := defaultScenario(seed)
		sc.daemons, sc.servers, sc.perSecond = 10, 4, 20
		return sc
	},
	"two hundred": func(seed uint64) scenario {
		sc := defaultScenario(seed)
		sc.daemons, sc.servers, sc.perSecond, sc.within = 200, 180, 4000, 20*time.Second
		return sc
	},
}

// alwaysDetected are the versions that must be judged correctly on a busy service without
// disturbances.
var alwaysDetected = []string{"good", "bad at once 10%", "bad at once 50%", "bad later 50%", "bad on one route", "slow 50%"}

// TestRollouts simulates roll-outs of good and bad versions under disturbances and counts the
// misjudged ones. Every roll-out must end within its time limit, keep the number of requests
// to the target version within the budget before the handover, and interrupt no requests.
func TestRollouts(t *testing.T) {
	for profileName, profile := range serviceProfiles {
		for versionName, fault := range targetVersions {
			for conditionName, condition := range disturbances {
				t.Run(profileName+"/"+versionName+"/"+conditionName, func(t *testing.T) {
					t.Parallel()
					mustBeCorrect := conditionName == "calm" && (profileName == "large" || profileName == "two hundred") && slices.Contains(alwaysDetected, versionName)
					playScenario(qt.New(t), profile, fault, condition, mustBeCorrect)
				})
			}
		}
	}
}

// playScenario simulates one scenario with all seeds. If mustBeCorrect is set, no roll-out may
// be misjudged.
func playScenario(c *qt.C, profile func(uint64) scenario, fault versionFault, condition disturbance, mustBeCorrect bool) {
	want := fleet.Completed
	if fault.share > 0 {
		want = fleet.RolledBack
	}
	misjudged, late, worst := 0, 0, 0.0
	for seed := range uint64(*seeds) {
		sc := profile(seed + 1)
		sc.fault, sc.disturbance = fault, condition
		result := sc.run()
		note := qt.Commentf("seed %d: %s at %s, %d of %d spent, %d bad: %s", seed+1, result.stage, result.endedAt, result.targetRequests, result.allRequests, result.badAnswers, result.why)
		c.Check(result.interruptedRequests, qt.Equals, 0, note)
		c.Check(result.stage.Final(), qt.IsTrue, note)
		c.Check(result.endedAt <= sc.within, qt.IsTrue, note)
		c.Check(result.overBudget <= 0, qt.IsTrue, note)
		if result.stage != want {
			misjudged++
			c.Logf("%s", note)
			c.Check(mustBeCorrect, qt.IsFalse, note)
		}
		if fault.share > 0 {
			worst = max(worst, float64(result.targetRequests-50)/float64(result.allRequests))
		}
		if result.fiftiethBadAt > 0 && result.stage == fleet.RolledBack && condition.isolatedShare == 0 && result.lastTargetRequestAt-result.fiftiethBadAt > maxExposureAfterBad {
			late++
		}
	}
	c.Logf("%d of %d misjudged, %d received requests more than %s after the 50th bad answer, worst share above the slack %.3f", misjudged, *seeds, late, maxExposureAfterBad, worst)
}

// maxExposureAfterBad is how long a version may receive requests after its 50th bad answer.
const maxExposureAfterBad = 5 * time.Second

package canary

import "math"

// The sequential test is the cumulative sum of Page, "Continuous Inspection Schemes"
// (Biometrika, 1954), over the log-likelihood ratio of two shares of bad answers. It detects
// a version that turns bad late, no matter how many good answers came before.
const (
	// Alarm is the sum at which a version is called bad. A version that is not bad reaches
	// it with a probability of about exp(-Alarm).
	Alarm = 7.0
	// A version counts as good up to toleratedRatio times the failure share of the base
	// version plus toleratedExtraFailures, because servers differ and a few of them are
	// compared with many. It counts as bad from badRatio times that plus badExtraFailures.
	toleratedRatio         = 2.0
	badRatio               = 1.5
	toleratedExtraFailures = 0.003
	badExtraFailures       = 0.02
	// The same for slow answers: those slower than all but slowTailShare of the base
	// version's answers, by slowMarginBuckets quarter octaves more.
	slowTailShare      = 0.02
	slowMarginBuckets  = 2
	toleratedExtraSlow = 0.005
	badExtraSlow       = 0.03
	// disturbedBuckets is by how many quarter octaves the base version's slow threshold
	// must rise above its best for the base version to count as disturbed.
	disturbedBuckets = 3
	// maxShare keeps shares below 1.
	maxShare = 0.97
	// decayAnswers is the number of base version answers over which the counts decay by a
	// factor of e: current conditions count, not those at the start.
	decayAnswers = 1000.0
	// minBestAnswers is the number of answers needed to determine the base version's best.
	minBestAnswers = 600
	// maxVsBestShare is the fraction of Alarm that evidence against the best may reach, so
	// that it is forgotten soon after both versions have recovered.
	maxVsBestShare = 0.6
	// minTimedAnswers is the number of answers needed to determine the slow threshold.
	minTimedAnswers = 40
)

// routeTest is the sequential test of one route.
type routeTest struct {
	sums
	previous Pair
	// failed, answers and times are the counts of the base version, with older answers
	// weighted less.
	failed, answers float64
	times           [bucketCount]float64
	// bestFailureShare is the lowest failure share of the base version so far.
	// bestSlowBucket is its lowest slow threshold, and bestSlowShare the share of answers
	// above that. They are valid if bestKnown is set.
	bestKnown        bool
	bestFailureShare float64
	bestSlowBucket   int
	bestSlowShare    float64
}

// update evaluates the counts so far and returns the evidence in what is new.
func (t *routeTest) update(now *Pair, alarm float64, servers map[string]Server) sums {
	t.addBase(&now.Base)
	answers, failed := now.Target.Answers-t.previous.Target.Answers, now.Target.Failed-t.previous.Target.Failed
	var e sums
	baseFailureShare := t.smoothedShare(t.failed)
	e.failing = evidence(failed, answers, baseFailureShare, toleratedExtraFailures, badExtraFailures)
	e.failingVsBest = e.failing
	if slowBucket, slowShare, known := t.slowThreshold(); known {
		t.updateBest(baseFailureShare, slowBucket, slowShare)
		e.slowing = evidence(t.newAnswersAbove(now, slowBucket), answers, slowShare, toleratedExtraSlow, badExtraSlow)
		e.slowingVsBest = e.slowing
	}
	if good, _ := hypotheses(t.bestFailureShare, toleratedExtraFailures, badExtraFailures); t.bestKnown && baseFailureShare > good {
		e.failingVsBest = evidence(failed, answers, t.bestFailureShare, toleratedExtraFailures, badExtraFailures)
	}
	if slowBucket, _, known := t.slowThreshold(); t.bestKnown && known && slowBucket >= t.bestSlowBucket+disturbedBuckets {
		e.slowingVsBest = evidence(t.newAnswersAbove(now, t.bestSlowBucket), answers, t.bestSlowShare, toleratedExtraSlow, badExtraSlow)
	}
	t.add(e, alarm, servers)
	t.previous = Pair{Base: now.Base.clone(), Target: now.Target.clone()}
	return e
}

// newAnswersAbove counts the new answers of the target version in buckets above bucket.
func (t *routeTest) newAnswersAbove(now *Pair, bucket int) uint64 {
	return answersAbove(now.Target.Times, bucket) - answersAbove(t.previous.Target.Times, bucket)
}

// updateBest updates the best values of the base version.
func (t *routeTest) updateBest(failureShare float64, slowBucket int, slowShare float64) {
	if t.answers < minBestAnswers && t.bestKnown {
		return
	}
	if !t.bestKnown || failureShare < t.bestFailureShare {
		t.bestFailureShare = failureShare
	}
	if !t.bestKnown || slowBucket < t.bestSlowBucket {
		t.bestSlowBucket, t.bestSlowShare = slowBucket, slowShare
	}
	t.bestKnown = true
}

// addBase adds the new answers of the base version.
func (t *routeTest) addBase(base *Counts) {
	fresh := float64(base.Answers - t.previous.Base.Answers)
	if fresh == 0 {
		return
	}
	keep := math.Exp(-fresh / decayAnswers)
	t.answers = keep*t.answers + fresh
	t.failed = keep*t.failed + float64(base.Failed-t.previous.Base.Failed)
	for i := range t.times {
		t.times[i] = keep*t.times[i] + float64(countAt(base.Times, i)-countAt(t.previous.Base.Times, i))
	}
}

// smoothedShare returns a share of the base version's answers. With few answers it is an overestimate.
func (t *routeTest) smoothedShare(of float64) float64 { return (of + 0.5) / (t.answers + 10) }

// slowThreshold returns the bucket above which answers are slow, and the base version's
// share of answers above it.
func (t *routeTest) slowThreshold() (threshold int, share float64, known bool) {
	if t.answers < minTimedAnswers {
		return 0, 0, false
	}
	over := 0.0
	bucket := bucketCount - 1
	for ; bucket > 0 && over+t.times[bucket] <= slowTailShare*t.answers; bucket-- {
		over += t.times[bucket]
	}
	bucket += slowMarginBuckets
	over = 0
	for i := bucket + 1; i < bucketCount; i++ {
		over += t.times[i]
	}
	return bucket, over / t.answers, true
}

// hypotheses returns the shares of bad answers under the two hypotheses: that the version
// is as good as the base version, and that it is worse.
func hypotheses(baseShare, toleratedExtra, badExtra float64) (good, bad float64) {
	good = math.Min(toleratedRatio*baseShare+toleratedExtra, maxShare/badRatio)
	return good, math.Min(badRatio*good+badExtra, maxShare)
}

// evidence returns the evidence of some answers, bad of which were bad, for a worse version.
func evidence(bad, answers uint64, baseShare, toleratedExtra, badExtra float64) float64 {
	good, worse := hypotheses(baseShare, toleratedExtra, badExtra)
	return logLikelihoodRatio(bad, answers-bad, good, worse)
}

// logLikelihoodRatio returns the log-likelihood ratio of some bad and other answers.
func logLikelihoodRatio(bad, other uint64, good, worse float64) float64 {
	return float64(bad)*math.Log(worse/good) + float64(other)*math.Log((1-worse)/(1-good))
}

// answersAbove counts the answers in buckets above bucket.
func answersAbove(times []uint32, bucket int) uint64 {
	var sum uint64
	for i := bucket + 1; i < len(times); i++ {
		sum += uint64(times[i])
	}
	return sum
}

func countAt(times []uint32, i int) uint32 {
	if i < len(times) {
		return times[i]
	}
	return 0
}

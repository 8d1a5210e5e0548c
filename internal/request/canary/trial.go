package canary

import "math"

// The sequential test: the cumulative sum of Page, "Continuous Inspection Schemes"
// (Biometrika, 1954), over the log-likelihood ratio of two shares of bad answers. It takes a
// version that turns bad late for what it is, however many good answers came before.
const (
	// Alarm is the sum at which a version is found worse: one that is not gets there about
	// once in e to the power of it.
	Alarm = 7.0
	// A version is as good with up to worse times the share of failures of the one before
	// it, and failedMore besides: servers differ, and a few of them are compared with many.
	// It is bad with leap times as many and a further failedLeap.
	worse      = 2.0
	leap       = 1.5
	failedMore = 0.003
	failedLeap = 0.02
	// The same for answers that are slower than all but slowPart of the other version's,
	// and by slowSteps quarter octaves more.
	slowPart  = 0.02
	slowSteps = 2
	slowMore  = 0.005
	slowLeap  = 0.03
	// disturbedSteps is how much later the slow answers of the other version begin, in
	// quarter octaves, while it is taken for disturbed.
	disturbedSteps = 3
	// mostShare keeps shares below 1.
	mostShare = 0.97
	// memory is how many answers of the other version are looked back upon: what the
	// service meets now counts, and not what it met at the start.
	memory = 1000.0
	// leastCalm is how many of them tell what is usual.
	leastCalm = 600
	// mostCalm is the part of Alarm that evidence against the best time may reach: it is
	// forgotten soon after both are well again.
	mostCalm = 0.6
	// leastTimes is how many answers tell how long answers take.
	leastTimes = 40
)

// trial is the test of one route.
type trial struct {
	sums
	seen Pair
	// failed, answers and times are what the other version met lately; older answers count
	// less.
	failed, answers float64
	times           [buckets]float64
	// calmShare is the least share of its answers that failed at any time, calmEdge the
	// least edge of slow answers with the share above it; calm tells that they are known.
	calm      bool
	calmShare float64
	calmEdge  int
	calmSlow  float64
}

// update takes in what was counted so far and returns the evidence in what is new.
func (t *trial) update(now *Pair, alarm float64, servers map[string]Server) sums {
	t.learn(&now.Base)
	answers, failed := now.Target.Answers-t.seen.Target.Answers, now.Target.Failed-t.seen.Target.Failed
	var e sums
	usual := t.share(t.failed)
	e.failing = evidence(failed, answers, usual, failedMore, failedLeap)
	e.failingCalm = e.failing
	if edge, slow, known := t.edge(); known {
		t.settle(usual, edge, slow)
		e.slowing = evidence(t.over(now, edge), answers, slow, slowMore, slowLeap)
		e.slowingCalm = e.slowing
	}
	if good, _ := hypotheses(t.calmShare, failedMore, failedLeap); t.calm && usual > good {
		e.failingCalm = evidence(failed, answers, t.calmShare, failedMore, failedLeap)
	}
	if edge, _, known := t.edge(); t.calm && known && edge >= t.calmEdge+disturbedSteps {
		e.slowingCalm = evidence(t.over(now, t.calmEdge), answers, t.calmSlow, slowMore, slowLeap)
	}
	t.add(e, alarm, servers)
	t.seen = Pair{Base: now.Base.clone(), Target: now.Target.clone()}
	return e
}

// over counts the new answers of the target version above an edge.
func (t *trial) over(now *Pair, edge int) uint64 {
	return above(now.Target.Times, edge) - above(t.seen.Target.Times, edge)
}

// settle keeps what the other version met at its best.
func (t *trial) settle(usual float64, edge int, slow float64) {
	if t.answers < leastCalm && t.calm {
		return
	}
	if !t.calm || usual < t.calmShare {
		t.calmShare = usual
	}
	if !t.calm || edge < t.calmEdge {
		t.calmEdge, t.calmSlow = edge, slow
	}
	t.calm = true
}

// learn takes in what the other version met since the last time.
func (t *trial) learn(base *Counts) {
	fresh := float64(base.Answers - t.seen.Base.Answers)
	if fresh == 0 {
		return
	}
	keep := math.Exp(-fresh / memory)
	t.answers = keep*t.answers + fresh
	t.failed = keep*t.failed + float64(base.Failed-t.seen.Base.Failed)
	for i := range t.times {
		t.times[i] = keep*t.times[i] + float64(at(base.Times, i)-at(t.seen.Base.Times, i))
	}
}

// share is a share of the other version's answers; of few it is taken for higher than it is.
func (t *trial) share(of float64) float64 { return (of + 0.5) / (t.answers + 10) }

// edge returns the bucket above which answers are slow, and the other version's share there.
func (t *trial) edge() (edge int, share float64, known bool) {
	if t.answers < leastTimes {
		return 0, 0, false
	}
	over := 0.0
	at := buckets - 1
	for ; at > 0 && over+t.times[at] <= slowPart*t.answers; at-- {
		over += t.times[at]
	}
	at += slowSteps
	over = 0
	for i := at + 1; i < buckets; i++ {
		over += t.times[i]
	}
	return at, over / t.answers, true
}

// hypotheses are the shares of bad answers of a version that is as good as the other one,
// and of one that is worse.
func hypotheses(usual, more, step float64) (good, bad float64) {
	good = math.Min(worse*usual+more, mostShare/leap)
	return good, math.Min(leap*good+step, mostShare)
}

// evidence is how much some answers, of which so many were bad, speak for a worse version.
func evidence(bad, answers uint64, usual, more, step float64) float64 {
	good, worse := hypotheses(usual, more, step)
	return ratio(bad, answers-bad, good, worse)
}

// ratio is the log-likelihood ratio of some bad and other answers.
func ratio(bad, other uint64, good, worse float64) float64 {
	return float64(bad)*math.Log(worse/good) + float64(other)*math.Log((1-worse)/(1-good))
}

// above counts the answers in buckets over an edge.
func above(times []uint32, edge int) uint64 {
	var sum uint64
	for i := edge + 1; i < len(times); i++ {
		sum += uint64(times[i])
	}
	return sum
}

func at(times []uint32, i int) uint32 {
	if i < len(times) {
		return times[i]
	}
	return 0
}

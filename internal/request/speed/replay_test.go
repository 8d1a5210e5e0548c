package speed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/eventqueue"
	"github.com/daisygate/daisygate/internal/request/speed"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// kinds are the kinds of requests of the replay, in equal shares.
var kinds = []struct {
	name         string
	time, target time.Duration
}{
	{"short", 36 * time.Millisecond, 150 * time.Millisecond},
	{"middle", 140 * time.Millisecond, 400 * time.Millisecond},
	{"long", 190 * time.Millisecond, 800 * time.Millisecond},
}

// slownesses are those of the servers.
var slownesses = []float64{0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2}

const (
	replaySlots = 4
	// In burstShare of all bursts, requests take burstFactor times as long.
	burstLength = 600 * time.Millisecond
	burstShare  = 0.15
	burstFactor = 2.5
	// nearlyFull and overloaded are offered loads as fractions of the capacity.
	nearlyFull = 0.9
	overloaded = 1.1
	// maxAttempts is how many servers a request is sent to until one accepts it.
	maxAttempts  = 5
	replayWarmUp = 15 * time.Second
	replayLength = 75 * time.Second
)

// statement is what the servers state of a contention at a time; 0 for nothing.
type statement func(random *rand.Rand, at time.Duration, contention float64) float64

func silent(*rand.Rand, time.Duration, float64) float64 { return 0 }

func honest(_ *rand.Rand, _ time.Duration, contention float64) float64 { return contention }

func random(r *rand.Rand, _ time.Duration, _ float64) float64 { return 0.5 + 3*r.Float64() }

func frozen(*rand.Rand, time.Duration, float64) float64 { return 2.5 }

func stopped(_ *rand.Rand, at time.Duration, contention float64) float64 {
	if at > replayWarmUp {
		return 0
	}
	return contention
}

// replay sends open load from one daemon beside each server.
type replay struct {
	utilisation float64
	sharesLoad  bool
	state       statement

	// arrivals is separate from random, so that all ways get the same requests.
	random, arrivals *rand.Rand
	now              time.Duration
	queue            eventqueue.Queue
	bursts           [][]float64
	tables           []*balance.Table
	nodes            []*directory.Candidate
	cores            map[string]*admit.Core
	speeds           map[string]*speed.Server
	decided          map[uint64]func(start bool)
	// offered and inTime count requests by kind.
	offered, inTime [3]int
}

var replayStart = time.Unix(1000, 0)

func (r *replay) clock() time.Time { return replayStart.Add(r.now) }

func (r *replay) after(d time.Duration, run func()) { r.queue.Push(r.clock().Add(d), run) }

// run returns the share of each kind that was answered within its target, and that of all.
func (r *replay) run(seed uint64) (byKind [3]float64, all float64) {
	r.random, r.arrivals = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	r.cores, r.speeds, r.decided = map[string]*admit.Core{}, map[string]*speed.Server{}, map[uint64]func(bool){}
	capacity := 0.0
	for i, slowness := range slownesses {
		addr := fmt.Sprint("10.0.0.", i)
		r.nodes = append(r.nodes, &directory.Candidate{
			Node:   view.Node{Name: fmt.Sprint("n", i), Domain: "d", Region: "r"},
			Server: presence.Server{Addr: addr, Slots: replaySlots, State: presence.Serving},
		})
		r.cores[addr] = admit.New(admit.Config{Slots: replaySlots, QueueMax: 4 * replaySlots})
		if r.sharesLoad {
			r.speeds[addr] = speed.NewServer(r.clock())
			r.cores[addr].SetTimes(r.speeds[addr])
		}
		var bursts []float64
		for range replayLength/burstLength + 100 {
			contention := 1.0
			if r.random.Float64() < burstShare {
				contention = burstFactor
			}
			bursts = append(bursts, contention)
		}
		r.bursts = append(r.bursts, bursts)
		capacity += replaySlots / slowness * (1 - burstShare + burstShare/burstFactor)
	}
	for _, c := range r.nodes {
		t := balance.NewTable(balance.Location{Node: c.Node.Name, Domain: "d", Region: "r"}, r)
		t.Update(r.nodes, 0)
		t.ShareLoad(r.sharesLoad)
		r.tables = append(r.tables, t)
	}
	meanTime := 0.0
	for _, k := range kinds {
		meanTime += k.time.Seconds() / float64(len(kinds))
	}
	r.arrive(r.utilisation * capacity / meanTime)
	for r.queue.Len() > 0 {
		at, run := r.queue.Pop()
		r.now = at.Sub(replayStart)
		run()
	}
	offered, inTime := 0, 0
	for i := range kinds {
		byKind[i] = float64(r.inTime[i]) / float64(r.offered[i])
		offered += r.offered[i]
		inTime += r.inTime[i]
	}
	return byKind, float64(inTime) / float64(offered)
}

// arrive sends requests at a rate in requests per second.
func (r *replay) arrive(rate float64) {
	if r.now >= replayLength {
		return
	}
	r.after(time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		r.attempt(r.arrivals.IntN(len(kinds)), r.tables[r.arrivals.IntN(len(r.tables))], r.now, nil)
		r.arrive(rate)
	})
}

func (r *replay) attempt(kind int, t *balance.Table, sent time.Duration, tried []*directory.Candidate) {
	k, counts := kinds[kind], sent > replayWarmUp
	if counts && len(tried) == 0 {
		r.offered[kind]++
	}
	if len(tried) == maxAttempts {
		return
	}
	to := t.Pick(balance.Input{Now: r.clock(), Seed: r.random.Uint64(), Tried: tried, Target: k.target, Kind: k.name})
	addr := to.Server.Addr
	t.Sent(r.clock(), to, 0, 0)
	end := func(outcome balance.Outcome) {
		t.Ended(r.clock(), to, outcome)
		l, _ := r.LocalLoad(addr)
		t.ReportLoad(r.clock(), to, l)
	}
	id := r.random.Uint64()
	r.decided[id] = func(start bool) {
		if !start {
			end(balance.Full)
			r.attempt(kind, t, sent, append(tried, to))
			return
		}
		r.serve(kind, to, t, func() {
			end(balance.Answered)
			if counts && r.now-sent <= k.target {
				r.inTime[kind]++
			}
		})
	}
	useful := time.Unix(1000, 0).Add(sent + k.target)
	r.apply(r.cores[addr].Arrive(r.clock(), admit.Ticket{ID: id, Kind: k.name, Useful: useful, Deadline: useful.Add(time.Second)}))
}

func (r *replay) apply(decisions []admit.Decision) {
	for _, d := range decisions {
		decided := r.decided[d.ID]
		delete(r.decided, d.ID)
		decided(d.Verdict == admit.Start)
	}
}

func (r *replay) serve(kind int, to *directory.Candidate, t *balance.Table, done func()) {
	k, core, server := kinds[kind], r.cores[to.Server.Addr], r.speeds[to.Server.Addr]
	var predicted speed.Prediction
	if server != nil {
		server.Tell(r.clock(), k.name, t.UsualTime(k.name))
		predicted = server.Predict(r.clock())
	}
	took := r.workTime(to, k.time)
	r.after(took, func() {
		core.Ended(r.clock(), false)
		r.apply(core.Finish(r.clock(), k.name, took))
		if server != nil {
			server.State(r.clock(), r.state(r.random, r.now, r.contention(to, r.now)))
			server.Record(r.clock(), predicted, k.name, took)
			t.RecordTime(r.clock(), k.name, took, server.Slowness(r.clock()).Factor)
		}
		done()
	})
}

func (r *replay) index(c *directory.Candidate) int { return int(c.Node.Name[1] - '0') }

func (r *replay) contention(c *directory.Candidate, at time.Duration) float64 {
	return r.bursts[r.index(c)][at/burstLength]
}

// workTime returns how long a request takes that begins now, through all bursts until it ends.
func (r *replay) workTime(c *directory.Candidate, usual time.Duration) time.Duration {
	left := usual.Seconds() * slownesses[r.index(c)] * (0.8 + 0.4*r.random.Float64())
	at := r.now
	for {
		end := (at/burstLength + 1) * burstLength
		contention := r.contention(c, at)
		if need := time.Duration(left * contention * float64(time.Second)); need <= end-at {
			return at + need - r.now
		}
		left -= (end - at).Seconds() / contention
		at = end
	}
}

// LocalLoad implements balance.Local.
func (r *replay) LocalLoad(addr string) (balance.Load, bool) {
	core, now := r.cores[addr], r.clock()
	l := balance.Load{
		Running: core.Running(), Queued: core.Queued(), Limit: core.Limit(now),
		Service: core.Service(), Idle: core.Idle(now), FailureRate: core.FailureRate(),
	}
	if s := r.speeds[addr]; s != nil {
		l.Slowness, l.Contention = s.Slowness(now).Factor, s.Contention(now).Factor
	}
	return l, true
}

// TestReplay plays the load that the estimates answer with the old decision and with the new one, with
// statements and without, and with statements that lie or stop.
func TestReplay(t *testing.T) {
	t.Parallel()
	inTime := playAll(t, nearlyFull, append(slices.Clone(soundWays),
		way{"random statements", true, random}, way{"frozen statements", true, frozen}, way{"stopped statements", true, stopped}))
	old, measured := inTime[0], inTime[1]
	checkAtLeast(t, "measured times by kind", measured, old+0.002)
	checkAtLeast(t, "statements", inTime[2], measured+0.004)
	for _, misled := range inTime[3:] {
		checkAtLeast(t, "misleading statements", misled, measured-replayNoise)
	}
}

// TestOverloadReplay plays the same load with more than the servers can take.
func TestOverloadReplay(t *testing.T) {
	t.Parallel()
	inTime := playAll(t, overloaded, soundWays)
	old, measured := inTime[0], inTime[1]
	checkAtLeast(t, "measured times by kind", measured, old+0.02)
	checkAtLeast(t, "statements", inTime[2], measured+0.004)
}

func checkAtLeast(t *testing.T, name string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: %.4f in time, want at least %.4f", name, got, want)
	}
}

const (
	// replayNoise is the difference to be expected between equivalent decisions, as a share of all
	// requests.
	replayNoise = 0.003
	replaySeeds = 8
)

// way is a way to decide, and what the servers state.
type way struct {
	name       string
	sharesLoad bool
	state      statement
}

// soundWays are the old decision, and the new one without statements and with true ones.
var soundWays = []way{
	{"one time for all kinds", false, silent}, {"measured times by kind", true, silent}, {"statements", true, honest},
}

// playAll returns for each way the mean share of requests that are answered within their target. All runs
// go on at the same time.
func playAll(t *testing.T, utilisation float64, ways []way) []float64 {
	all := make([][replaySeeds]float64, len(ways))
	byKind := make([][replaySeeds][3]float64, len(ways))
	var runs sync.WaitGroup
	for w, way := range ways {
		for i := range replaySeeds {
			runs.Go(func() {
				r := &replay{utilisation: utilisation, sharesLoad: way.sharesLoad, state: way.state}
				byKind[w][i], all[w][i] = r.run(uint64(i + 1))
			})
		}
	}
	runs.Wait()
	means := make([]float64, len(ways))
	for w, way := range ways {
		var kind [3]float64
		for i, v := range all[w] {
			means[w] += v / replaySeeds
			for k := range kind {
				kind[k] += byKind[w][i][k] / replaySeeds
			}
		}
		t.Logf("%.1f of the capacity, %-24s in time %.4f, by kind %.3f", utilisation, way.name, means[w], kind)
	}
	return means
}

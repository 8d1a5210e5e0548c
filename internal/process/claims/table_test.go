package claims_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/process/claims"
	"github.com/daisygate/daisygate/internal/request/idempotency"
	"github.com/daisygate/daisygate/internal/result"
)

var limits = claims.Limits{
	Claims: 4, AnswerBytes: 20, Retention: 100 * time.Second, MinRetention: 60 * time.Second, AnswerRetention: 30 * time.Second, ReleasedRetention: 5 * time.Second,
}

// TestSessions runs sequences of commands against one table. A line is
//
//	<second> claim|answer|release <key> <daemon>/<seq> [request or body]
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		table := claims.New(limits)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				out.WriteString(step(t, table, line))
			}
			fmt.Fprintf(&out, "holds %d, answers %d bytes\n", table.Len(), table.AnswerBytes())
			return out.String()
		})
	})
}

func step(t *testing.T, table *claims.Table, line string) string {
	if line == "restart" {
		raw, err := table.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, table.Restore(raw), qt.IsNil)
		return "restarted\n"
	}
	var second, seq int64
	var kind, key, daemon, rest string
	fields := strings.Fields(strings.ReplaceAll(line, "/", " ") + " -")[:6]
	_, err := fmt.Sscan(strings.Join(fields, " "), &second, &kind, &key, &daemon, &seq, &rest)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", line))
	c := claims.Command{ID: idempotency.NewID("mesh", key), Now: second * 1000, Token: idempotency.Token{Node: daemon, Incarnation: 1, Seq: uint64(seq)}}
	switch kind {
	case "claim":
		r := idempotency.Request{Path: rest}
		c.Kind, c.Fingerprint = claims.KindClaim, r.Fingerprint()
	case "answer":
		c.Kind, c.Answer = claims.KindAnswer, &idempotency.Answer{Status: 200, Body: []byte(rest)}
	case "release":
		c.Kind = claims.KindRelease
	}
	return fmt.Sprintf("%s -> %s\n", line, describe(table.Execute(&c)))
}

func describe(r idempotency.Reply) string {
	step := idempotency.ClaimStep(r, func(owner idempotency.Token) bool { return owner.Node != "dead" })
	switch {
	case r.Verdict == idempotency.Done:
		return "done"
	case r.Verdict == idempotency.NotHeld:
		return "not held"
	case step.Replay != nil:
		return fmt.Sprintf("first answer %q", step.Replay.Body)
	case step.Refusal != nil:
		return fmt.Sprintf("%s, %s, retry after %s", step.Refusal.Code, step.Refusal.Code.Outcome(), step.RetryAfter)
	}
	return "runs"
}

func init() {
	// Use the same sequences each time; -rapid.seed selects others.
	_ = flag.Set("rapid.seed", "1")
}

// run is what the oracle knows about one attempt.
type run struct {
	key         int
	fingerprint uint64
	token       idempotency.Token
	granted     bool
	finished    bool
	// since is when the claim was granted.
	since time.Time
}

// TestNoKeyRunsTwice guards against a request that is run twice under one key within
// its retention. Daemons race, resend, crash and lose replies, the table is restored
// at any time, and an oracle records the runs of each key.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{table: claims.New(oracleLimits), lastRun: map[int]*run{}, answers: map[int]string{}, now: time.UnixMilli(1 << 40)}
		t.Repeat(map[string]func(*rapid.T){
			"claim":   o.claim,
			"late":    o.resendClaim,
			"end":     o.finishRun,
			"die":     o.crash,
			"advance": o.advance,
			"restore": o.restore,
			"":        o.check,
		})
	})
}

var oracleLimits = claims.Limits{Claims: 6, AnswerBytes: 1 << 10, Retention: 50 * time.Second, MinRetention: 25 * time.Second, AnswerRetention: 50 * time.Second, ReleasedRetention: 50 * time.Second}

type oracle struct {
	table *claims.Table
	now   time.Time
	// latest is the latest time of any command: the time of the table.
	latest time.Time
	// lastFull is when the table was last full.
	lastFull time.Time
	seq      uint64
	runs     []*run
	// lastRun is the latest run of each key.
	lastRun map[int]*run
	answers map[int]string
}

func (o *oracle) do(c claims.Command) idempotency.Reply {
	c.Now = o.now.UnixMilli()
	if o.now.After(o.latest) {
		o.latest = o.now
	}
	raw, err := c.Encode()
	if err != nil {
		panic(err)
	}
	reply, err := o.table.Apply(0, 0, raw)
	if err != nil {
		panic(err)
	}
	return reply
}

func id(key int) idempotency.ID { return idempotency.NewID("m", fmt.Sprint(key)) }

func (o *oracle) claim(t *rapid.T) {
	o.seq++
	r := &run{key: rapid.IntRange(0, 7).Draw(t, "key"), token: idempotency.Token{Node: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon"), Seq: o.seq}}
	r.fingerprint = uint64(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "request"))
	o.runs = append(o.runs, r)
	o.send(t, r)
}

// resendClaim resends a claim, as after a lost reply.
func (o *oracle) resendClaim(t *rapid.T) {
	if len(o.runs) > 0 {
		o.send(t, rapid.SampledFrom(o.runs).Draw(t, "run"))
	}
}

func (o *oracle) send(t *rapid.T, r *run) {
	reply := o.do(claims.Command{Kind: claims.KindClaim, ID: id(r.key), Fingerprint: r.fingerprint, Token: r.token})
	lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
	if reply.Verdict == idempotency.Answered && reply.Answer.Code == result.OK && string(reply.Answer.Body) != o.answers[r.key] {
		t.Fatalf("key %d: answer %q, first was %q", r.key, reply.Answer.Body, o.answers[r.key])
	}
	switch {
	case r.finished && reply.Verdict == idempotency.Granted:
		// The claim arrived long after its release. Nobody waits for it.
	case lost && !r.granted && !r.finished:
		r.finished = true
		o.do(claims.Command{Kind: claims.KindRelease, ID: id(r.key), Token: r.token})
	case reply.Verdict == idempotency.Granted && !r.granted:
		o.run(t, r)
	case reply.Verdict != idempotency.Granted && !r.granted:
		r.finished = true
	}
}

func (o *oracle) run(t *rapid.T, r *run) {
	if first := o.lastRun[r.key]; first != nil && o.latest.Sub(first.since) < o.retention(first) {
		t.Fatalf("key %d runs twice: at %s and %s", r.key, first.since, o.latest)
	}
	o.lastRun[r.key], r.since = r, o.latest
	delete(o.answers, r.key)
	r.granted = true
}

// retention returns the guaranteed retention of the key of a run.
func (o *oracle) retention(r *run) time.Duration {
	if o.lastFull.Before(r.since) {
		return oracleLimits.Retention
	}
	return oracleLimits.MinRetention
}

// finishRun ends a granted run as answered, certainly not run, or lost.
func (o *oracle) finishRun(t *rapid.T) {
	r := o.pickOpenRun(t)
	if r == nil {
		return
	}
	r.finished = true
	code := rapid.SampledFrom([]result.Code{result.OK, result.OK, result.BackendRefused, result.AnswerLost, result.CallerLeft}).Draw(t, "end")
	body := fmt.Sprintf("answer %d", r.token.Seq)
	answer := idempotency.AnswerToRecord(code, &idempotency.Answer{Status: 200, Body: []byte(body)})
	c := claims.Command{Kind: claims.KindRelease, ID: id(r.key), Token: r.token}
	if answer != nil {
		c.Kind, c.Answer = claims.KindAnswer, answer
	}
	verdict := o.do(c).Verdict
	current := o.lastRun[r.key] == r && o.latest.Sub(r.since) < oracleLimits.Retention
	if verdict != idempotency.Done && current {
		t.Fatalf("key %d: recording the end of the owner's run returned verdict %d", r.key, verdict)
	}
	if verdict == idempotency.Done && code == result.OK {
		o.answers[r.key] = body
	}
	if code == result.BackendRefused && current {
		delete(o.lastRun, r.key)
	}
}

// crash abandons a run without recording its end, as a killed daemon does.
func (o *oracle) crash(t *rapid.T) {
	if r := o.pickOpenRun(t); r != nil {
		r.finished = true
	}
}

func (o *oracle) pickOpenRun(t *rapid.T) *run {
	var open []*run
	for _, r := range o.runs {
		if r.granted && !r.finished {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(t, "open run")
}

func (o *oracle) advance(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(-2, 30).Draw(t, "seconds")) * time.Second)
}

// restore transfers the table to another source with a snapshot.
func (o *oracle) restore(t *rapid.T) {
	raw, err := o.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := claims.New(oracleLimits)
	if err := other.Restore(raw); err != nil {
		t.Fatal(err)
	}
	again, err := other.Snapshot()
	if err != nil || string(again) != string(raw) {
		t.Fatalf("the snapshot differs after a restore (%v)", err)
	}
	o.table = other
}

func (o *oracle) check(t *rapid.T) {
	if o.table.Len() == oracleLimits.Claims {
		o.lastFull = o.latest
	}
	if o.table.Len() > oracleLimits.Claims || o.table.AnswerBytes() > oracleLimits.AnswerBytes {
		t.Fatalf("limits exceeded: %d claims, %d bytes of answers", o.table.Len(), o.table.AnswerBytes())
	}
}

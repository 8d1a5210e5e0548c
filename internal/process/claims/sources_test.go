package claims_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/process/claims"
	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/request/once"
	"github.com/daisygate/daisygate/internal/result"
)

var members = []string{"s1", "s2", "s3"}

// TestNoKeyRunsTwiceOnSources drives daemons against three sources with real
// files, which are killed and restarted, lose messages, change their leader and
// lose a disk, one until it is repaired, while answers of the sources are lost on the way to the daemons.
func TestNoKeyRunsTwiceOnSources(t *testing.T) {
	base := t.TempDir()
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		w := &world{dir: filepath.Join(base, fmt.Sprint(number)), nodes: map[string]*quorum.Node[once.Reply]{}, disks: map[string]*storage.Log{}, tables: map[string]*claims.Table{}, ran: map[int]*attempt{}}
		for _, id := range members {
			w.start(t, id)
		}
		defer w.stopAll()
		w.settle(t, 40)
		t.Repeat(map[string]func(*rapid.T){
			"claim":  w.claim,
			"again":  w.again,
			"end":    w.end,
			"rounds": func(t *rapid.T) { w.settle(t, rapid.IntRange(1, 12).Draw(t, "rounds")) },
			"loss":   w.loss,
			"kill":   w.kill,
			"wipe":   w.wipe,
			"return": w.restart,
			"peek":   w.peek,
		})
		w.recovers(t)
	})
}

// attempt is one daemon's try to run a key.
type attempt struct {
	key   int
	token once.Token
	// given up attempts do not run, whatever is answered later.
	givenUp, running, over bool
	// ended is set once the daemon knows how the run ended, by code.
	ended bool
	code  result.Code
}

type packet struct {
	to       string
	messages []replica.Message
}

type world struct {
	dir    string
	nodes  map[string]*quorum.Node[once.Reply]
	disks  map[string]*storage.Log
	tables map[string]*claims.Table
	wire   []packet
	// starts seeds each start apart: equal seeds would tie elections for ever.
	starts   uint64
	seq      uint64
	attempts []*attempt
	// ran is the attempt that ran each key.
	ran map[int]*attempt
	// twice is set when a key ran a second time.
	twice string
}

func (w *world) start(t *rapid.T, id string) {
	w.starts++
	dir, err := storage.NewOSDir(filepath.Join(w.dir, id))
	if err != nil {
		t.Fatal(err)
	}
	disk, restored, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	send := func(to string, messages []replica.Message) { w.wire = append(w.wire, packet{to, messages}) }
	table := claims.New(claims.DefaultLimits())
	node, err := quorum.NewNode(replica.Config{
		ID: id, Members: members, ElectionTicks: 10, HeartbeatTicks: 2, Seed: w.starts,
	}, restored, disk, table, send, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	w.nodes[id], w.disks[id], w.tables[id] = node, disk, table
}

func (w *world) stopAll() {
	for _, d := range w.disks {
		_ = d.Close()
	}
}

// settle lets time pass and delivers what is on the wire.
func (w *world) settle(t *rapid.T, rounds int) {
	for range rounds {
		for _, id := range members {
			if n := w.nodes[id]; n != nil {
				n.Tick()
				n.Settle()
			}
		}
		wire := w.wire
		w.wire = nil
		for _, p := range wire {
			if n := w.nodes[p.to]; n != nil {
				n.Step(p.messages)
				n.Settle()
			}
		}
	}
	if w.twice != "" {
		t.Fatal(w.twice)
	}
}

func (w *world) propose(t *rapid.T, c claims.Command, answer func(once.Reply, error)) {
	id := rapid.SampledFrom(members).Draw(t, "source")
	if n := w.nodes[id]; n != nil {
		raw, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		n.Propose(raw, answer)
		n.Settle()
	}
}

func (w *world) claim(t *rapid.T) {
	w.seq++
	a := &attempt{key: rapid.IntRange(0, 3).Draw(t, "key"), token: once.Token{Node: "d", Seq: w.seq}}
	w.attempts = append(w.attempts, a)
	w.send(t, a)
}

func (w *world) send(t *rapid.T, a *attempt) {
	w.propose(t, claims.Command{Kind: claims.KindClaim, ID: id(a.key), Token: a.token}, func(r once.Reply, err error) {
		if err == nil && r.Verdict == once.Granted && !a.givenUp && !a.running {
			w.run(a)
		}
	})
}

func (w *world) run(a *attempt) {
	a.running = true
	if first := w.ran[a.key]; first != nil {
		w.twice = fmt.Sprintf("key %d ran under %d and under %d", a.key, first.token.Seq, a.token.Seq)
	}
	w.ran[a.key] = a
}

// again sends an unanswered claim once more, or gives it up and releases it.
func (w *world) again(t *rapid.T) {
	for _, a := range w.attempts {
		if a.running || a.over {
			continue
		}
		if rapid.Bool().Draw(t, "give up") {
			a.givenUp = true
		}
		if !a.givenUp {
			w.send(t, a)
			return
		}
		w.finish(t, a, claims.Command{Kind: claims.KindRelease})
		return
	}
}

// end records how a run ended; it is repeated until the sources answer.
func (w *world) end(t *rapid.T) {
	for _, a := range w.attempts {
		if !a.running || a.over {
			continue
		}
		if !a.ended {
			a.ended = true
			a.code = rapid.SampledFrom([]result.Code{result.OK, result.AnswerLost, result.BackendRefused}).Draw(t, "code")
		}
		answer := once.Close(a.code, &once.Answer{Status: 200})
		c := claims.Command{Kind: claims.KindAnswer, Answer: answer}
		if answer == nil {
			c.Kind = claims.KindRelease
			a.givenUp = true
		}
		if a.givenUp && w.ran[a.key] == a {
			delete(w.ran, a.key)
		}
		w.finish(t, a, c)
		return
	}
}

func (w *world) finish(t *rapid.T, a *attempt, c claims.Command) {
	if a.givenUp {
		c.Kind, c.Answer = claims.KindRelease, nil
	}
	c.ID, c.Token = id(a.key), a.token
	w.propose(t, c, func(_ once.Reply, err error) { a.over = a.over || err == nil })
}

// peek looks at one source alone: an answer that it knows is that of a run.
func (w *world) peek(t *rapid.T) {
	source := rapid.SampledFrom(members).Draw(t, "source")
	for key := range 4 {
		if w.tables[source].Peek(id(key), 0).Verdict == once.Answered && w.ran[key] == nil {
			t.Fatalf("%s knows an answer of key %d, which did not run", source, key)
		}
	}
}

func (w *world) loss(t *rapid.T) {
	if len(w.wire) > 0 {
		i := rapid.IntRange(0, len(w.wire)-1).Draw(t, "lost packet")
		w.wire = append(w.wire[:i], w.wire[i+1:]...)
	}
}

func (w *world) kill(t *rapid.T) {
	id := rapid.SampledFrom(members).Draw(t, "killed")
	if w.nodes[id] == nil {
		return
	}
	_ = w.disks[id].Close()
	delete(w.nodes, id)
	delete(w.disks, id)
}

// wipe loses the disk of a source that was killed, unless another lost disk is
// not repaired yet.
func (w *world) wipe(t *rapid.T) {
	for _, id := range members {
		n := w.nodes[id]
		if n == nil || (n.Status().Repair.State != replica.RepairNone && n.Status().Repair.State != replica.RepairDone) {
			return
		}
	}
	id := rapid.SampledFrom(members).Draw(t, "wiped")
	_ = w.disks[id].Close()
	if err := os.RemoveAll(filepath.Join(w.dir, id)); err != nil {
		t.Fatal(err)
	}
	w.start(t, id)
}

func (w *world) restart(t *rapid.T) {
	for _, id := range members {
		if w.nodes[id] == nil {
			w.start(t, id)
			return
		}
	}
}

// recovers checks that with every source back a fresh key is granted, and that
// a key that ran is not.
func (w *world) recovers(t *rapid.T) {
	for range members {
		w.restart(t)
	}
	w.settle(t, 60)
	granted := 0
	for _, id := range members {
		c := claims.Command{Kind: claims.KindClaim, ID: once.NewID("m", "fresh"), Token: once.Token{Node: "d", Seq: 1 << 40}}
		raw, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		w.nodes[id].Propose(raw, func(r once.Reply, err error) {
			if err == nil && r.Verdict == once.Granted {
				granted++
			}
		})
	}
	w.settle(t, 10)
	if granted == 0 {
		t.Fatal("no source grants a fresh key")
	}
}

// Package claims is the replicated table of idempotency keys: the state machine
// that a group of sources runs, and the commands that daemons send it.
//
// The table is deterministic: time comes in with each command, stamped by the
// source that proposed it, and the table's own time only goes up. Expiry and
// every bound follow from the commands alone, so that all sources hold the same
// table and a restart builds it again.
package claims

import (
	"container/list"
	"time"

	"github.com/daisygate/daisygate/internal/request/once"
)

// Limits bound a table; they must be the same on every source of a group.
type Limits struct {
	// Claims is the most claims held.
	Claims int
	// AnswerBytes is the most bytes of answers kept; the oldest make room.
	AnswerBytes int
	// Keep is how long a key is remembered after it was claimed. After it the
	// key may be used anew.
	Keep time.Duration
	// KeepLeast is how long a key is remembered at any rate: in a full table the
	// oldest answered claims that are older make room for new ones.
	KeepLeast time.Duration
	// KeepAnswer is how long an answer is kept after it was recorded; then its
	// request is still known to have run.
	KeepAnswer time.Duration
	// KeepReleased is how long a released token is remembered, so that its
	// claim is refused if it arrives after its release.
	KeepReleased time.Duration
}

// DefaultLimits returns the documented limits of one group.
func DefaultLimits() Limits {
	return Limits{
		Claims: 200_000, AnswerBytes: 16 << 20, Keep: 24 * time.Hour, KeepLeast: time.Hour,
		KeepAnswer: time.Hour, KeepReleased: time.Minute,
	}
}

// state is the phase of a claim.
type state uint8

const (
	held state = iota + 1
	answered
	released
)

// claim is one key. Invariant: it is in the list of held and answered claims or
// in that of released ones, by its state, and in the list of answers exactly if
// its answer holds bytes.
type claim struct {
	id          once.ID
	fingerprint uint64
	token       once.Token
	state       state
	// since is when it entered its list, in Unix milliseconds.
	since int64
	// answer is set when answered.
	answer *once.Answer
	// answeredAt is when the answer was recorded, in Unix milliseconds.
	answeredAt int64

	place       *list.Element
	answerPlace *list.Element
}

// Table is the state machine. It is not safe for concurrent use.
type Table struct {
	limits Limits
	// now is the largest time of any command, in Unix milliseconds.
	now    int64
	claims map[once.ID]*claim
	// kept, tombs and answers hold *claim, oldest first.
	kept, tombs, answers *list.List
	// answerBytes is the sum of the sizes in answers; at most AnswerBytes.
	answerBytes int
	// names holds one copy of each owner's name.
	names map[string]string
}

// New returns an empty table.
func New(limits Limits) *Table {
	t := &Table{limits: limits}
	t.reset()
	return t
}

func (t *Table) reset() {
	t.now, t.answerBytes = 0, 0
	t.claims, t.names = map[once.ID]*claim{}, map[string]string{}
	t.kept, t.tombs, t.answers = list.New(), list.New(), list.New()
}

// Len is the number of claims held, with released tokens.
func (t *Table) Len() int { return len(t.claims) }

// AnswerBytes is what the kept answers take.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// Do carries out one command.
func (t *Table) Do(c *Command) once.Reply {
	t.now = max(t.now, c.Now)
	t.expire()
	switch c.Kind {
	case KindClaim:
		return t.claim(c)
	case KindAnswer:
		return t.answer(c)
	case KindRelease:
		return t.release(c)
	}
	return once.Reply{Verdict: once.NotHeld}
}

func (t *Table) claim(c *Command) once.Reply {
	e := t.claims[c.ID]
	switch {
	case e == nil:
		return t.grant(c)
	case e.state == released && e.token == c.Token:
		return once.Reply{Verdict: once.Cancelled}
	case e.state == released:
		t.remove(e)
		return t.grant(c)
	case e.state == held && e.token == c.Token:
		return once.Reply{Verdict: once.Granted}
	}
	return e.seen(c.Fingerprint)
}

// seen is what a claim tells a later one of the same key.
func (e *claim) seen(fingerprint uint64) once.Reply {
	switch {
	case e.fingerprint != fingerprint:
		return once.Reply{Verdict: once.Mismatch}
	case e.state == answered:
		return once.Reply{Verdict: once.Answered, Answer: e.answer}
	}
	return once.Reply{Verdict: once.Held, Owner: e.token}
}

// Peek tells what is known of a key without claiming it, NotHeld for nothing.
// It may be asked of one source alone, which may be behind: what it knows was
// committed, and what it does not know may have been.
func (t *Table) Peek(id once.ID, fingerprint uint64) once.Reply {
	e := t.claims[id]
	if e == nil || e.state == released {
		return once.Reply{Verdict: once.NotHeld}
	}
	return e.seen(fingerprint)
}

func (t *Table) grant(c *Command) once.Reply {
	if len(t.claims) >= t.limits.Claims && !t.makeRoom() {
		return once.Reply{Verdict: once.Full, Wait: t.roomIn()}
	}
	e := &claim{id: c.ID, fingerprint: c.Fingerprint, token: t.intern(c.Token), state: held, since: t.now}
	e.place = t.kept.PushBack(e)
	t.claims[c.ID] = e
	return once.Reply{Verdict: once.Granted}
}

// roomScan bounds how far makeRoom looks behind claims that are still held.
const roomScan = 64

// makeRoom drops the oldest answered claim that is older than KeepLeast.
func (t *Table) makeRoom() bool {
	place := t.kept.Front()
	for range roomScan {
		if place == nil || t.left(place.Value.(*claim), t.limits.KeepLeast) > 0 {
			return false
		}
		if e := place.Value.(*claim); e.state == answered {
			t.remove(e)
			return true
		}
		place = place.Next()
	}
	return false
}

// roomIn is when the next entry expires or may make room.
func (t *Table) roomIn() time.Duration {
	wait := t.limits.KeepLeast
	if oldest := t.kept.Front(); oldest != nil {
		wait = t.left(oldest.Value.(*claim), t.limits.KeepLeast)
	}
	if oldest := t.tombs.Front(); oldest != nil {
		wait = min(wait, t.left(oldest.Value.(*claim), t.limits.KeepReleased))
	}
	return wait
}

func (t *Table) left(e *claim, keep time.Duration) time.Duration {
	return keep - time.Duration(t.now-e.since)*time.Millisecond
}

func (t *Table) answer(c *Command) once.Reply {
	e := t.claims[c.ID]
	if e == nil || e.token != c.Token || e.state == released || c.Answer == nil {
		return once.Reply{Verdict: once.NotHeld}
	}
	if e.state == answered {
		return once.Reply{Verdict: once.Done}
	}
	e.state, e.answer, e.answeredAt = answered, c.Answer, t.now
	if size := c.Answer.Size(); size > 0 {
		t.answerBytes += size
		e.answerPlace = t.answers.PushBack(e)
	}
	for t.answerBytes > t.limits.AnswerBytes {
		t.dropAnswer(t.answers.Front().Value.(*claim))
	}
	return once.Reply{Verdict: once.Done}
}

// dropAnswer keeps of an answer only that its request ran.
func (t *Table) dropAnswer(e *claim) {
	t.forgetAnswer(e)
	e.answer = &once.Answer{Code: e.answer.Code, Dropped: true}
}

func (t *Table) forgetAnswer(e *claim) {
	if e.answerPlace == nil {
		return
	}
	t.answers.Remove(e.answerPlace)
	e.answerPlace = nil
	t.answerBytes -= e.answer.Size()
}

// release frees a claim that its token holds; for a claim that has not arrived
// it leaves a mark by which that claim is refused.
func (t *Table) release(c *Command) once.Reply {
	e := t.claims[c.ID]
	if e != nil && e.state == held && e.token == c.Token {
		t.remove(e)
		t.bury(c)
		return once.Reply{Verdict: once.Done}
	}
	if e == nil && len(t.claims) < t.limits.Claims {
		t.bury(c)
		return once.Reply{Verdict: once.Done}
	}
	return once.Reply{Verdict: once.NotHeld}
}

func (t *Table) bury(c *Command) {
	e := &claim{id: c.ID, token: t.intern(c.Token), state: released, since: t.now}
	e.place = t.tombs.PushBack(e)
	t.claims[c.ID] = e
}

func (t *Table) remove(e *claim) {
	delete(t.claims, e.id)
	if e.state == released {
		t.tombs.Remove(e.place)
		return
	}
	t.forgetAnswer(e)
	t.kept.Remove(e.place)
}

func (t *Table) expire() {
	t.expireList(t.kept, t.limits.Keep)
	t.expireList(t.tombs, t.limits.KeepReleased)
	for front := t.answers.Front(); front != nil; front = t.answers.Front() {
		e := front.Value.(*claim)
		if t.now-e.answeredAt < t.limits.KeepAnswer.Milliseconds() {
			return
		}
		t.dropAnswer(e)
	}
}

func (t *Table) expireList(l *list.List, keep time.Duration) {
	for front := l.Front(); front != nil; front = l.Front() {
		e := front.Value.(*claim)
		if t.now-e.since < keep.Milliseconds() {
			return
		}
		t.remove(e)
	}
}

func (t *Table) intern(token once.Token) once.Token {
	name, known := t.names[token.Node]
	if !known {
		name = token.Node
		t.names[name] = name
	}
	token.Node = name
	return token
}

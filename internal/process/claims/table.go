// Package claims implements the replicated table of idempotency keys: the state
// machine that a group of sources runs, and the commands that daemons send to it.
//
// The table is deterministic. Each command carries the time at the source that
// proposed it, and the time of the table never goes back. Expiry and all limits depend
// only on the commands, so that all sources have the same table and a restart rebuilds
// it.
package claims

import (
	"container/list"
	"time"

	"github.com/daisygate/daisygate/internal/request/idempotency"
)

// Limits are the limits of a table. They must be the same on every source of a group.
type Limits struct {
	// Claims is the maximum number of claims.
	Claims int
	// AnswerBytes is the maximum total size of the stored answers. The oldest are
	// discarded first.
	AnswerBytes int
	// Retention is how long a key is kept after it was claimed. Then it may be used
	// again.
	Retention time.Duration
	// MinRetention is how long a key is kept at least. In a full table, the oldest
	// answered claims above that age are evicted for new ones.
	MinRetention time.Duration
	// AnswerRetention is how long an answer is stored after it was recorded. After
	// that the table still knows that the request was run.
	AnswerRetention time.Duration
	// ReleasedRetention is how long a released token is kept, so that its claim is
	// refused if it arrives after its release.
	ReleasedRetention time.Duration
}

// DefaultLimits returns the documented limits of a group.
func DefaultLimits() Limits {
	return Limits{
		Claims: 200_000, AnswerBytes: 16 << 20, Retention: 24 * time.Hour, MinRetention: time.Hour,
		AnswerRetention: time.Hour, ReleasedRetention: time.Minute,
	}
}

// state is the state of a claim.
type state uint8

const (
	held state = iota + 1
	answered
	released
)

// claim is the entry of one key. Invariant: it is in the list of active claims if it
// is held or answered, in the list of tombstones if it is released, and in the list of
// answers if and only if its answer has a size above 0.
type claim struct {
	id          idempotency.ID
	fingerprint uint64
	token       idempotency.Token
	state       state
	// since is when the claim was added to its list, in Unix milliseconds.
	since int64
	// answer is set if the state is answered.
	answer *idempotency.Answer
	// answeredAt is when the answer was recorded, in Unix milliseconds.
	answeredAt int64

	element       *list.Element
	answerElement *list.Element
}

// Table is the state machine. It is not safe for concurrent use.
type Table struct {
	limits Limits
	// now is the latest time of any command, in Unix milliseconds.
	now    int64
	claims map[idempotency.ID]*claim
	// active, tombstones and answers contain *claim, oldest first.
	active, tombstones, answers *list.List
	// answerBytes is the total size of the answers in the list answers; at most
	// limits.AnswerBytes.
	answerBytes int
	// ownerNames stores one copy of each owner name.
	ownerNames map[string]string
}

// New returns an empty table.
func New(limits Limits) *Table {
	t := &Table{limits: limits}
	t.reset()
	return t
}

func (t *Table) reset() {
	t.now, t.answerBytes = 0, 0
	t.claims, t.ownerNames = map[idempotency.ID]*claim{}, map[string]string{}
	t.active, t.tombstones, t.answers = list.New(), list.New(), list.New()
}

// Len returns the number of claims, including released ones.
func (t *Table) Len() int { return len(t.claims) }

// AnswerBytes returns the total size of the stored answers.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// Execute executes one command.
func (t *Table) Execute(c *Command) idempotency.Reply {
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
	return idempotency.Reply{Verdict: idempotency.NotHeld}
}

func (t *Table) claim(c *Command) idempotency.Reply {
	e := t.claims[c.ID]
	switch {
	case e == nil:
		return t.grant(c)
	case e.state == released && e.token == c.Token:
		return idempotency.Reply{Verdict: idempotency.Cancelled}
	case e.state == released:
		t.remove(e)
		return t.grant(c)
	case e.state == held && e.token == c.Token:
		return idempotency.Reply{Verdict: idempotency.Granted}
	}
	return e.duplicateReply(c.Fingerprint)
}

// duplicateReply returns the reply to a later claim of the same key.
func (e *claim) duplicateReply(fingerprint uint64) idempotency.Reply {
	switch {
	case e.fingerprint != fingerprint:
		return idempotency.Reply{Verdict: idempotency.Mismatch}
	case e.state == answered:
		return idempotency.Reply{Verdict: idempotency.Answered, Answer: e.answer}
	}
	return idempotency.Reply{Verdict: idempotency.Held, Owner: e.token}
}

// Peek returns what is known about a key without claiming it, or NotHeld if nothing
// is. It may be called on a single source, which may lag behind: what it knows was
// committed, and what it does not know may have been committed as well.
func (t *Table) Peek(id idempotency.ID, fingerprint uint64) idempotency.Reply {
	e := t.claims[id]
	if e == nil || e.state == released {
		return idempotency.Reply{Verdict: idempotency.NotHeld}
	}
	return e.duplicateReply(fingerprint)
}

func (t *Table) grant(c *Command) idempotency.Reply {
	if len(t.claims) >= t.limits.Claims && !t.evictOldest() {
		return idempotency.Reply{Verdict: idempotency.Full, Wait: t.evictionWait()}
	}
	e := &claim{id: c.ID, fingerprint: c.Fingerprint, token: t.intern(c.Token), state: held, since: t.now}
	e.element = t.active.PushBack(e)
	t.claims[c.ID] = e
	return idempotency.Reply{Verdict: idempotency.Granted}
}

// maxEvictionScan limits the number of claims that evictOldest examines.
const maxEvictionScan = 64

// evictOldest removes the oldest answered claim that is older than MinRetention. It
// reports whether there was one.
func (t *Table) evictOldest() bool {
	element := t.active.Front()
	for range maxEvictionScan {
		if element == nil || t.remaining(element.Value.(*claim), t.limits.MinRetention) > 0 {
			return false
		}
		if e := element.Value.(*claim); e.state == answered {
			t.remove(e)
			return true
		}
		element = element.Next()
	}
	return false
}

// evictionWait returns the time until the next claim expires or may be evicted.
func (t *Table) evictionWait() time.Duration {
	wait := t.limits.MinRetention
	if oldest := t.active.Front(); oldest != nil {
		wait = t.remaining(oldest.Value.(*claim), t.limits.MinRetention)
	}
	if oldest := t.tombstones.Front(); oldest != nil {
		wait = min(wait, t.remaining(oldest.Value.(*claim), t.limits.ReleasedRetention))
	}
	return wait
}

func (t *Table) remaining(e *claim, retention time.Duration) time.Duration {
	return retention - time.Duration(t.now-e.since)*time.Millisecond
}

func (t *Table) answer(c *Command) idempotency.Reply {
	e := t.claims[c.ID]
	if e == nil || e.token != c.Token || e.state == released || c.Answer == nil {
		return idempotency.Reply{Verdict: idempotency.NotHeld}
	}
	if e.state == answered {
		return idempotency.Reply{Verdict: idempotency.Done}
	}
	e.state, e.answer, e.answeredAt = answered, c.Answer, t.now
	if size := c.Answer.Size(); size > 0 {
		t.answerBytes += size
		e.answerElement = t.answers.PushBack(e)
	}
	for t.answerBytes > t.limits.AnswerBytes {
		t.discardAnswer(t.answers.Front().Value.(*claim))
	}
	return idempotency.Reply{Verdict: idempotency.Done}
}

// discardAnswer removes the content of an answer and only keeps the fact that the
// request was run.
func (t *Table) discardAnswer(e *claim) {
	t.removeAnswer(e)
	e.answer = &idempotency.Answer{Code: e.answer.Code, Dropped: true}
}

func (t *Table) removeAnswer(e *claim) {
	if e.answerElement == nil {
		return
	}
	t.answers.Remove(e.answerElement)
	e.answerElement = nil
	t.answerBytes -= e.answer.Size()
}

// release releases a claim that the token holds. For a claim that has not arrived it
// adds a tombstone, so that the claim is refused later.
func (t *Table) release(c *Command) idempotency.Reply {
	e := t.claims[c.ID]
	if e != nil && e.state == held && e.token == c.Token {
		t.remove(e)
		t.addTombstone(c)
		return idempotency.Reply{Verdict: idempotency.Done}
	}
	if e == nil && len(t.claims) < t.limits.Claims {
		t.addTombstone(c)
		return idempotency.Reply{Verdict: idempotency.Done}
	}
	return idempotency.Reply{Verdict: idempotency.NotHeld}
}

func (t *Table) addTombstone(c *Command) {
	e := &claim{id: c.ID, token: t.intern(c.Token), state: released, since: t.now}
	e.element = t.tombstones.PushBack(e)
	t.claims[c.ID] = e
}

func (t *Table) remove(e *claim) {
	delete(t.claims, e.id)
	if e.state == released {
		t.tombstones.Remove(e.element)
		return
	}
	t.removeAnswer(e)
	t.active.Remove(e.element)
}

func (t *Table) expire() {
	t.expireList(t.active, t.limits.Retention)
	t.expireList(t.tombstones, t.limits.ReleasedRetention)
	for front := t.answers.Front(); front != nil; front = t.answers.Front() {
		e := front.Value.(*claim)
		if t.now-e.answeredAt < t.limits.AnswerRetention.Milliseconds() {
			return
		}
		t.discardAnswer(e)
	}
}

func (t *Table) expireList(l *list.List, retention time.Duration) {
	for front := l.Front(); front != nil; front = l.Front() {
		e := front.Value.(*claim)
		if t.now-e.since < retention.Milliseconds() {
			return
		}
		t.remove(e)
	}
}

func (t *Table) intern(token idempotency.Token) idempotency.Token {
	name, known := t.ownerNames[token.Node]
	if !known {
		name = token.Node
		t.ownerNames[name] = name
	}
	token.Node = name
	return token
}

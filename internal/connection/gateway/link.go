package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	corelink "github.com/daisygate/daisygate/internal/request/link"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// bodiesAtATime is how many large bodies come in over the link together. One uses
	// the link up: a caller's own link is none, its instance has the body. With two,
	// small requests wait longer for the same uploads.
	bodiesAtATime = 1
	// answersAtATime is how many large answers leave together: where one reader is
	// slow, the other goes on.
	answersAtATime = 2
	// briefBody is how long a body may take the link and go past the others: waiting
	// for a turn would cost it more.
	briefBody = 20 * time.Millisecond
	// inflowShare and outflowShare are the parts of the time to the target within
	// which a body has to be here and the request be answered, and an answer has to
	// be through; the rest is for what goes otherwise.
	inflowShare  = 0.6
	outflowShare = 0.8
	// outflowPart is the part of the link's rate that calls take: the rest is for
	// control and for what packets cost besides. On a full link small messages stand
	// behind the large ones. standing is what may wait in front of the link.
	outflowPart = 0.88
	standing    = 10 * time.Millisecond
	// turnMost is how long the reader of an answer may take nothing before the answer
	// loses its turn: many times what a part of it takes. A daemon that is frozen or cut
	// off reads nothing for seconds, and its connections show no sign of it.
	turnMost = 150 * time.Millisecond
	// messageBytes is what a message between daemons takes besides its body.
	messageBytes = 600
)

// link is the instance's link, as far as large bodies share it: requests for the
// servers beside this daemon come in, and their answers go out.
type link struct {
	in, out *direction
	// lengths are those of the answers by route: of the servers beside this daemon and
	// of those that it asked.
	lengths corelink.Lengths
}

// newLink returns a link of so many bytes a second each way; 0 is not known.
func newLink(rate float64) *link {
	return &link{
		in:  newDirection(rate, bodiesAtATime, corelink.InOrder),
		out: newDirection(outflowPart*rate, answersAtATime, corelink.ShortestFirst),
	}
}

// direction is one way over the link.
type direction struct {
	mu sync.Mutex
	// core is nil where the link's rate is not known.
	core    *corelink.Core
	waiting map[uint64]chan struct{}
	// through is when all that was let go is through, at the link's rate.
	through time.Time
}

func newDirection(rate float64, most int, order corelink.Order) *direction {
	d := &direction{waiting: map[uint64]chan struct{}{}}
	if rate > 0 {
		d.core = corelink.New(rate, most, order)
	}
	return d
}

// ahead is the bytes that a new body may have to wait for.
func (d *direction) ahead() int64 {
	if d.core == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Ahead()
}

// long reports whether a body of so many bytes, -1 if they are not told, takes the
// link for long.
func (d *direction) long(bytes int64) bool {
	return d.core != nil && d.core.Takes(bytes) > briefBody
}

// arrive takes in a body. turn is nil if it may go at once, else closed when it may.
func (d *direction) arrive(bytes int64) (id uint64, turn chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, now := d.core.Arrive(bytes)
	if !now {
		turn = make(chan struct{})
		d.waiting[id] = turn
	}
	return id, turn
}

// went tells that a part of a body is through. turn is nil if it goes on, else
// closed when it may again.
func (d *direction) went(id uint64, n int) (turn chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	goesOn, instead := d.core.Went(id, n)
	if goesOn {
		return nil
	}
	turn = make(chan struct{})
	d.waiting[id] = turn
	d.start(instead)
	return turn
}

func (d *direction) leave(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
	for _, started := range d.core.Leave(id) {
		d.start(started)
	}
}

func (d *direction) start(id uint64) {
	if turn := d.waiting[id]; turn != nil {
		close(turn)
		delete(d.waiting, id)
	}
}

// expect tells of a body to come, and by a length below 0 that it came or will not.
func (d *direction) expect(bytes int64) {
	if d.core == nil || bytes == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Expect(bytes)
}

// pace returns how long to wait before n more bytes go, so that no more than
// standing of them waits in front of the link.
func (d *direction) pace(now time.Time, n int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.through.Before(now) {
		d.through = now
	}
	wait := d.through.Sub(now) - standing
	d.through = d.through.Add(d.core.Takes(int64(n)))
	return wait
}

// passes counts a small message with a body of n bytes, which does not wait: large
// ones wait for it instead.
func (d *direction) passes(n int64) {
	if d.core != nil {
		d.pace(time.Now(), int(max(n, 0))+messageBytes)
	}
}

// shares reports whether a request's body has to share the link with others: it
// comes from another daemon and takes the link for long.
func (l *link) shares(k *work) bool {
	return k.remote && k.body.stream && l.in.long(k.body.length())
}

// large is the length of a body that takes a link for long, 0 of others or where it
// is not told.
func (l *link) large(b *requestBody) int64 {
	if !b.stream || !l.in.long(b.length()) {
		return 0
	}
	return max(0, b.length())
}

// largeAnswer is the usual length of the answers of a route if they take a link for
// long, else 0.
func (l *link) largeAnswer(route string) int64 {
	if l.out.core == nil {
		return 0
	}
	if usual := l.lengths.Usual(route); l.out.long(usual) {
		return usual
	}
	return 0
}

// enter waits until the body of a request may come; usual is how long the request
// takes from then to its answer. The body leaves by itself at its end.
func (l *link) enter(ctx context.Context, k *work, usual time.Duration) *refusal {
	in := l.in
	in.mu.Lock()
	wait := in.core.Wait()
	in.mu.Unlock()
	if wait > 0 {
		if late := k.late(wait+usual, inflowShare); late > 0 {
			return &refusal{Error: result.Errorf(result.Overloaded, "the link is full: the body is expected in %s", wait), back: late}
		}
	}
	id, turn := in.arrive(k.body.length())
	k.body.counts(func(n int) { in.went(id, n) }, func() { in.leave(id) })
	if turn == nil {
		return nil
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		k.body.leave()
		code := whyEnded(ctx)
		return refuse(code, fmt.Sprintf("%s The body waited for the link.", code.Meaning()))
	}
}

// late is by how much an answer that is expected after some time misses a share of
// the time to the target; 0 or less if it does not, or the target is not known.
func (k *work) late(after time.Duration, share float64) time.Duration {
	if k.useful.IsZero() {
		return 0
	}
	return after - time.Duration(share*float64(time.Until(k.useful)))
}

// admitAnswer refuses a request whose answer is not expected to be through the link
// in time; usual is how long the request runs. Answers to this instance's own
// callers take no link. With nil the caller must call the function returned when
// the answer begins to leave, or will not.
func (l *link) admitAnswer(k *work, usual time.Duration) (begun func(), refused *refusal) {
	bytes := l.largeAnswer(k.route)
	if !k.remote || bytes == 0 {
		return func() {}, nil
	}
	ahead := l.out.ahead()
	leaves := max(usual, l.out.core.Takes(ahead))
	if late := k.late(leaves+l.out.core.Takes(bytes), outflowShare); ahead > 0 && late > 0 {
		return nil, &refusal{Error: result.Errorf(result.Overloaded, "the link is full: the answer is expected to leave in %s", leaves), back: late}
	}
	l.out.expect(bytes)
	return sync.OnceFunc(func() { l.out.expect(-bytes) }), nil
}

// departure is a large answer on its way out over the link. A nil one takes the link
// for too short to wait.
type departure struct {
	out  *direction
	id   uint64
	turn chan struct{}
}

// depart takes in an answer of so many bytes, -1 if they are not told.
func (l *link) depart(bytes int64) *departure {
	if !l.out.long(bytes) {
		l.out.passes(bytes)
		return nil
	}
	id, turn := l.out.arrive(bytes)
	return &departure{out: l.out, id: id, turn: turn}
}

// wait returns when n more bytes may go.
func (d *departure) wait(ctx context.Context, n int) error {
	if d == nil || n == 0 {
		return nil
	}
	if d.turn != nil {
		select {
		case <-d.turn:
			d.turn = nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	wait := d.out.pace(time.Now(), n)
	if wait <= 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// send has a part of n bytes written. While it is not taken, the others go on.
func (d *departure) send(n int, write func() error) error {
	if d == nil || n == 0 {
		return write()
	}
	stalled := time.AfterFunc(turnMost, d.end)
	err := write()
	// Once the turn was lost there is none to wait for again.
	if stalled.Stop() && err == nil {
		d.turn = d.out.went(d.id, n)
	}
	return err
}

// end gives the turn up; what still goes is only paced.
func (d *departure) end() {
	if d != nil {
		d.out.leave(d.id)
	}
}

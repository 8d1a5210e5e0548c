package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/claims"
	"github.com/daisygate/daisygate/internal/request/once"
	"github.com/daisygate/daisygate/internal/result"
)

// ClaimTable reaches the replicated table of claims.
type ClaimTable interface {
	// Do carries out one command. With an error, committed tells whether the
	// command may have been committed all the same.
	Do(ctx context.Context, c claims.Command) (reply once.Reply, committed bool, err error)
	// Peek asks one source that can be reached what it knows of a claim's key
	// while there is no majority; once.NotHeld is nothing.
	Peek(ctx context.Context, c claims.Command) once.Reply
}

// OnceConfig is fixed for the life of a Once.
type OnceConfig struct {
	// Node and Incarnation name this process.
	Node        string
	Incarnation uint64
	Table       ClaimTable
	// Lives reports whether the process that made a claim still runs, as far as
	// this daemon knows.
	Lives func(once.Token) bool
}

// The bounds of a Once.
const (
	// claimTimeout bounds the wait for the sources before a request is refused
	// without a run.
	claimTimeout = time.Second
	// outage is how long no claim is tried after one found no majority of
	// sources.
	outage = time.Second
	// peekTimeout bounds the look at one source meanwhile.
	peekTimeout = 200 * time.Millisecond
	// settleTimeout bounds one try to record an end; settlePause is waited
	// between tries.
	settleTimeout = 2 * time.Second
	settlePause   = 200 * time.Millisecond
	// settleWorkers record ends at a time; settleQueue ends wait for them.
	settleWorkers = 8
	settleQueue   = 4096
	// settleBytes is the most bytes of answers that wait; further ones are
	// recorded as not kept.
	settleBytes = 4 << 20
)

// Once makes requests with an idempotency key run at most once, by claims in a
// replicated table. It implements Claims.
type Once struct {
	cfg OnceConfig
	log logr.Logger
	seq atomic.Uint64
	// granted holds a claims.Command with ID and Token by *Request, from Claim
	// to Settle.
	granted sync.Map
	// downUntil is when the next claim may be tried, in Unix nanoseconds; 0
	// while the sources answer.
	downUntil atomic.Int64

	ends    chan claims.Command
	pending sync.WaitGroup
	count   atomic.Int64
	// waiting is the bytes of answers in ends.
	waiting atomic.Int64
}

// NewOnce returns a Once; Run records the ends.
func NewOnce(cfg OnceConfig, log logr.Logger) *Once {
	return &Once{cfg: cfg, log: log, ends: make(chan claims.Command, settleQueue)}
}

// Claim implements Claims.
func (o *Once) Claim(ctx context.Context, r *Request) ClaimVerdict {
	key := r.HTTP.Header.Get(HeaderIdempotencyKey)
	if len(key) > once.MaxKeyLength {
		return ClaimVerdict{Refusal: result.Errorf(result.BadRequest, "%s is longer than %d bytes", HeaderIdempotencyKey, once.MaxKeyLength)}
	}
	c := claims.Command{
		Kind: claims.KindClaim, ID: once.NewID(r.Mesh, key), Fingerprint: fingerprintOf(r),
		Token: once.Token{Node: o.cfg.Node, Incarnation: o.cfg.Incarnation, Seq: o.seq.Add(1)},
	}
	// The claim goes on when its caller leaves: its end must be known.
	ctx = context.WithoutCancel(ctx)
	reply, ok := o.ask(ctx, c)
	if !ok {
		return verdictOf(o.peek(ctx, c))
	}
	step := once.Open(reply, o.cfg.Lives)
	if step.Refusal == nil && step.Replay == nil {
		o.granted.Store(r, claims.Command{ID: c.ID, Token: c.Token})
	}
	return verdictOf(step)
}

// ask makes the claim; ok is false when no majority of sources answered.
func (o *Once) ask(ctx context.Context, c claims.Command) (reply once.Reply, ok bool) {
	if !o.mayAsk() {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, committed, err := o.cfg.Table.Do(ctx, c)
	if err != nil {
		o.unavailable(c, committed, err)
		return reply, false
	}
	o.downUntil.Store(0)
	return reply, true
}

// mayAsk lets one claim at a time find out whether an outage is over.
func (o *Once) mayAsk() bool {
	now, until := time.Now().UnixNano(), o.downUntil.Load()
	if until == 0 {
		return true
	}
	return now >= until && o.downUntil.CompareAndSwap(until, now+int64(outage))
}

// peek decides without a majority: a key that one source knows is answered by
// that, any other request is not run, and nothing is known of earlier sendings.
// One source may lag: a claim of another request may be released since, and this
// one may have run, so that a mismatch decides nothing.
func (o *Once) peek(ctx context.Context, c claims.Command) once.Step {
	ctx, cancel := context.WithTimeout(ctx, peekTimeout)
	defer cancel()
	reply := o.cfg.Table.Peek(ctx, c)
	if reply.Verdict == once.NotHeld || reply.Verdict == once.Mismatch || reply.Owner == c.Token {
		return once.Unavailable()
	}
	return once.Open(reply, o.cfg.Lives)
}

// unavailable begins a time without claims, and takes back what may have been
// committed.
func (o *Once) unavailable(c claims.Command, committed bool, err error) {
	o.log.V(1).Info("claim not recorded", "error", err.Error())
	o.downUntil.Store(time.Now().Add(outage).UnixNano())
	if committed {
		o.settle(claims.Command{Kind: claims.KindRelease, ID: c.ID, Token: c.Token})
	}
}

func fingerprintOf(r *Request) uint64 {
	identity := once.Request{
		Method: r.HTTP.Method, Path: r.HTTP.URL.Path, Query: r.HTTP.URL.RawQuery,
		ContentType: r.HTTP.Header.Get("Content-Type"), ContentLength: r.HTTP.ContentLength, Body: r.Body,
	}
	return identity.Fingerprint()
}

func verdictOf(s once.Step) ClaimVerdict {
	v := ClaimVerdict{Refusal: s.Refusal, RetryAfter: s.RetryAfter}
	if s.Replay == nil {
		return v
	}
	v.Answer = &KeptAnswer{Status: s.Replay.Status, Header: http.Header{}, Body: s.Replay.Body}
	for _, f := range s.Replay.Header {
		v.Answer.Header.Add(f.Name, f.Value)
	}
	return v
}

// Settle implements Claims. The end is recorded in the background: until then a
// resend is told that the first run is in progress.
func (o *Once) Settle(r *Request, s Settlement) {
	held, granted := o.granted.LoadAndDelete(r)
	if !granted {
		return
	}
	c := held.(claims.Command)
	c.Kind = claims.KindRelease
	if c.Answer = once.Close(s.Code, recorded(s.Answer)); c.Answer != nil {
		c.Kind = claims.KindAnswer
	}
	o.settle(c)
}

// recorded returns the form in which an answer is kept, or nil without one.
func recorded(a *KeptAnswer) *once.Answer {
	if a == nil {
		return nil
	}
	kept := &once.Answer{Status: a.Status, Body: a.Body}
	for name, values := range a.Header {
		for _, v := range values {
			kept.Header = append(kept.Header, once.HeaderField{Name: name, Value: v})
		}
	}
	return kept
}

func (o *Once) settle(c claims.Command) {
	if size := sizeOf(&c); size > 0 && o.waiting.Add(size) > settleBytes {
		o.waiting.Add(-size)
		c.Answer = &once.Answer{Code: c.Answer.Code, Dropped: true}
	}
	o.pending.Add(1)
	o.count.Add(1)
	select {
	case o.ends <- c:
	default:
		o.done(&c)
		o.log.Info("end of a claimed request not recorded: too many wait", "waiting", settleQueue)
	}
}

func sizeOf(c *claims.Command) int64 {
	if c.Answer == nil {
		return 0
	}
	return int64(c.Answer.Size())
}

func (o *Once) done(c *claims.Command) {
	o.waiting.Add(-sizeOf(c))
	o.count.Add(-1)
	o.pending.Done()
}

// Waiting is how many ends are not recorded yet.
func (o *Once) Waiting() int { return int(o.count.Load()) }

// Run records ends until ctx ends.
func (o *Once) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range settleWorkers {
		workers.Go(func() { o.work(ctx) })
	}
	workers.Wait()
}

func (o *Once) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-o.ends:
			o.record(ctx, c)
			o.done(&c)
		}
	}
}

// record tries until the sources answered.
func (o *Once) record(ctx context.Context, c claims.Command) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, settleTimeout)
		reply, _, err := o.cfg.Table.Do(try, c)
		cancel()
		if err == nil {
			if reply.Verdict != once.Done {
				o.log.V(1).Info("end of a claimed request came too late", "verdict", reply.Verdict)
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(settlePause):
		}
	}
}

// Flush waits until every end is recorded, or ctx ends.
func (o *Once) Flush(ctx context.Context) {
	recorded := make(chan struct{})
	go func() { o.pending.Wait(); close(recorded) }()
	select {
	case <-recorded:
	case <-ctx.Done():
		o.log.Info("stopped with ends of claimed requests not recorded")
	}
}

package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/claims"
	"github.com/daisygate/daisygate/internal/request/idempotency"
	"github.com/daisygate/daisygate/internal/result"
)

// ClaimTable gives access to the replicated claim table.
type ClaimTable interface {
	// Do executes one command. If it returns an error, committed reports whether the
	// command may have been committed nevertheless.
	Do(ctx context.Context, c claims.Command) (reply idempotency.Reply, committed bool, err error)
	// Peek asks one reachable source for its record of a claim's key while there is no
	// majority. idempotency.NotHeld means that it has none.
	Peek(ctx context.Context, c claims.Command) idempotency.Reply
}

// IdempotencyConfig holds the settings of an IdempotencyManager; they do not change afterwards.
type IdempotencyConfig struct {
	// Node and Incarnation identify this process.
	Node        string
	Incarnation uint64
	Table       ClaimTable
	// IsAlive reports whether the process that made a claim is still running, as far as
	// this daemon knows.
	IsAlive func(idempotency.Token) bool
}

// The limits of an IdempotencyManager.
const (
	// claimTimeout bounds the wait for the sources before a request is refused as not
	// run.
	claimTimeout = time.Second
	// outageBackoff is how long no claim is sent after one found no majority of sources.
	outageBackoff = time.Second
	// peekTimeout bounds the query to a single source during an outage.
	peekTimeout = 200 * time.Millisecond
	// settleTimeout bounds one attempt to record a result; settleRetryDelay is the delay
	// between attempts.
	settleTimeout    = 2 * time.Second
	settleRetryDelay = 200 * time.Millisecond
	// settleWorkers is the number of results recorded concurrently; settleQueueSize is
	// the number that may be queued.
	settleWorkers   = 8
	settleQueueSize = 4096
	// maxQueuedResponseBytes bounds the total size of queued responses; further results
	// are recorded without their response.
	maxQueuedResponseBytes = 4 << 20
)

// IdempotencyManager makes requests with an idempotency key run at most once, using claims in a
// replicated table. It implements Claims.
type IdempotencyManager struct {
	cfg IdempotencyConfig
	log logr.Logger
	seq atomic.Uint64
	// granted maps *Request to a claims.Command with ID and Token, from Claim until
	// Settle.
	granted sync.Map
	// outageUntil is when the next claim may be sent, in Unix nanoseconds; 0 while the
	// sources respond.
	outageUntil atomic.Int64

	queue       chan claims.Command
	pending     sync.WaitGroup
	queueLength atomic.Int64
	// queuedBytes is the size of the responses in queue.
	queuedBytes atomic.Int64
}

// NewIdempotencyManager returns an IdempotencyManager. Run must be running for results to
// be recorded.
func NewIdempotencyManager(cfg IdempotencyConfig, log logr.Logger) *IdempotencyManager {
	return &IdempotencyManager{cfg: cfg, log: log, queue: make(chan claims.Command, settleQueueSize)}
}

// Claim implements Claims.
func (o *IdempotencyManager) Claim(ctx context.Context, r *Request) ClaimVerdict {
	key := r.HTTP.Header.Get(HeaderIdempotencyKey)
	if len(key) > idempotency.MaxKeyLength {
		return ClaimVerdict{Refusal: result.Errorf(result.BadRequest, "%s is longer than %d bytes", HeaderIdempotencyKey, idempotency.MaxKeyLength)}
	}
	c := claims.Command{
		Kind: claims.KindClaim, ID: idempotency.NewID(r.Mesh, key), Fingerprint: fingerprintOf(r),
		Token: idempotency.Token{Node: o.cfg.Node, Incarnation: o.cfg.Incarnation, Seq: o.seq.Add(1)},
	}
	// The claim continues when its caller disconnects: its result must be known.
	ctx = context.WithoutCancel(ctx)
	reply, ok := o.sendClaim(ctx, c)
	if !ok {
		return verdictOf(o.peek(ctx, c))
	}
	step := idempotency.ClaimStep(reply, o.cfg.IsAlive)
	if step.Refusal == nil && step.Replay == nil {
		o.granted.Store(r, claims.Command{ID: c.ID, Token: c.Token})
	}
	return verdictOf(step)
}

// sendClaim sends the claim. ok is false if no majority of sources answered.
func (o *IdempotencyManager) sendClaim(ctx context.Context, c claims.Command) (reply idempotency.Reply, ok bool) {
	if !o.allowClaim() {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, committed, err := o.cfg.Table.Do(ctx, c)
	if err != nil {
		o.beginOutage(c, committed, err)
		return reply, false
	}
	o.outageUntil.Store(0)
	return reply, true
}

// allowClaim reports whether a claim may be sent. During an outage it lets one claim at a
// time probe whether the outage is over.
func (o *IdempotencyManager) allowClaim() bool {
	now, until := time.Now().UnixNano(), o.outageUntil.Load()
	if until == 0 {
		return true
	}
	return now >= until && o.outageUntil.CompareAndSwap(until, now+int64(outageBackoff))
}

// peek decides without a majority. If one source knows the key, its record decides;
// otherwise the request is not run, and nothing is known about earlier submissions. The
// source may lag: the claim of another request may have been released since, and this
// request may have run, so a mismatch proves nothing.
func (o *IdempotencyManager) peek(ctx context.Context, c claims.Command) idempotency.Step {
	ctx, cancel := context.WithTimeout(ctx, peekTimeout)
	defer cancel()
	reply := o.cfg.Table.Peek(ctx, c)
	if reply.Verdict == idempotency.NotHeld || reply.Verdict == idempotency.Mismatch || reply.Owner == c.Token {
		return idempotency.Unavailable()
	}
	return idempotency.ClaimStep(reply, o.cfg.IsAlive)
}

// beginOutage suspends claims for a while and releases a claim that may have been
// committed.
func (o *IdempotencyManager) beginOutage(c claims.Command, committed bool, err error) {
	o.log.V(1).Info("claim not recorded", "error", err.Error())
	o.outageUntil.Store(time.Now().Add(outageBackoff).UnixNano())
	if committed {
		o.enqueue(claims.Command{Kind: claims.KindRelease, ID: c.ID, Token: c.Token})
	}
}

func fingerprintOf(r *Request) uint64 {
	identity := idempotency.Request{
		Method: r.HTTP.Method, Path: r.HTTP.URL.Path, Query: r.HTTP.URL.RawQuery,
		ContentType: r.HTTP.Header.Get("Content-Type"), ContentLength: r.HTTP.ContentLength, Body: r.Body,
	}
	return identity.Fingerprint()
}

func verdictOf(s idempotency.Step) ClaimVerdict {
	v := ClaimVerdict{Refusal: s.Refusal, RetryAfter: s.RetryAfter}
	if s.Replay == nil {
		return v
	}
	v.Response = &StoredResponse{Status: s.Replay.Status, Header: http.Header{}, Body: s.Replay.Body}
	for _, f := range s.Replay.Header {
		v.Response.Header.Add(f.Name, f.Value)
	}
	return v
}

// Settle implements Claims. The result is recorded in the background; until then the response
// to a resent request is that the first run is in progress.
func (o *IdempotencyManager) Settle(r *Request, s Settlement) {
	grantedCommand, granted := o.granted.LoadAndDelete(r)
	if !granted {
		return
	}
	c := grantedCommand.(claims.Command)
	c.Kind = claims.KindRelease
	if c.Answer = idempotency.AnswerToRecord(s.Code, storedForm(s.Response)); c.Answer != nil {
		c.Kind = claims.KindAnswer
	}
	o.enqueue(c)
}

// storedForm returns the response in the form in which it is stored, or nil if there is
// none.
func storedForm(response *StoredResponse) *idempotency.Answer {
	if response == nil {
		return nil
	}
	stored := &idempotency.Answer{Status: response.Status, Body: response.Body}
	for name, values := range response.Header {
		for _, v := range values {
			stored.Header = append(stored.Header, idempotency.HeaderField{Name: name, Value: v})
		}
	}
	return stored
}

func (o *IdempotencyManager) enqueue(c claims.Command) {
	if size := sizeOf(&c); size > 0 && o.queuedBytes.Add(size) > maxQueuedResponseBytes {
		o.queuedBytes.Add(-size)
		c.Answer = &idempotency.Answer{Code: c.Answer.Code, Dropped: true}
	}
	o.pending.Add(1)
	o.queueLength.Add(1)
	select {
	case o.queue <- c:
	default:
		o.dequeued(&c)
		o.log.Info("result of a claimed request not recorded: queue is full", "waiting", settleQueueSize)
	}
}

func sizeOf(c *claims.Command) int64 {
	if c.Answer == nil {
		return 0
	}
	return int64(c.Answer.Size())
}

func (o *IdempotencyManager) dequeued(c *claims.Command) {
	o.queuedBytes.Add(-sizeOf(c))
	o.queueLength.Add(-1)
	o.pending.Done()
}

// PendingResults returns the number of results that are not recorded yet.
func (o *IdempotencyManager) PendingResults() int { return int(o.queueLength.Load()) }

// Run records results until ctx is done.
func (o *IdempotencyManager) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range settleWorkers {
		workers.Go(func() { o.runWorker(ctx) })
	}
	workers.Wait()
}

func (o *IdempotencyManager) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-o.queue:
			o.record(ctx, c)
			o.dequeued(&c)
		}
	}
}

// record retries until the sources have answered.
func (o *IdempotencyManager) record(ctx context.Context, c claims.Command) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, settleTimeout)
		reply, _, err := o.cfg.Table.Do(try, c)
		cancel()
		if err == nil {
			if reply.Verdict != idempotency.Done {
				o.log.V(1).Info("result of a claimed request not accepted by the claim table", "verdict", reply.Verdict)
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(settleRetryDelay):
		}
	}
}

// Flush waits until all results are recorded or ctx is done.
func (o *IdempotencyManager) Flush(ctx context.Context) {
	recorded := make(chan struct{})
	go func() { o.pending.Wait(); close(recorded) }()
	select {
	case <-recorded:
	case <-ctx.Done():
		o.log.Info("stopped before the results of all claimed requests were recorded")
	}
}

package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/leaves"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
)

// sourceRetainLeave is the RPC method that retains a leave at the sources.
const sourceRetainLeave = "Source.RetainLeave"

const (
	// leaveAckTimeout is how long a backend server waits for the acknowledgement of its leave. It
	// is below the second after which servers of the platform give up.
	leaveAckTimeout = 700 * time.Millisecond
	// retainTimeout limits the attempts to retain one leave. They continue after leaveAckTimeout,
	// so that the next announcement of the leave is acknowledged at once.
	retainTimeout = 10 * time.Second
	// retainHedgeInterval is how long one source is waited for before the next is called as well.
	retainHedgeInterval = 150 * time.Millisecond
	// maxRetainedLeaves limits the leaves that are known to be retained. One that is forgotten is
	// retained once more when it is announced again.
	maxRetainedLeaves = 256
)

// Log messages about leaves of backend servers.
const (
	logLeaveRetained    = "leave retained"
	logLeaveNotRetained = "leave not retained"
	logLeavesRestored   = "leaves of backend servers restored"
	logLeavesUnknown    = "leaves of backend servers unknown: no source replied"
)

// RetainReply is the reply of Source.RetainLeave.
type RetainReply struct {
	Answer source.Answer
	// Sources are the voting sources.
	Sources []settings.Member
}

// RetainArgs is the argument of Source.RetainLeave.
type RetainArgs struct {
	// Node is the name of the daemon that acknowledges the leave.
	Node  string
	Leave leaves.Leave
}

// leaveKeeper retains the leaves of local backend servers at the sources.
type leaveKeeper struct {
	d  *Daemon
	mu sync.Mutex
	// retentions contains the newest leave of each boot ID.
	retentions map[string]*retention
}

// retention is the attempt to retain one leave.
type retention struct {
	leave leaves.Leave
	// done is closed at the end of the attempt; err is then its result.
	done chan struct{}
	err  error
}

func newLeaveKeeper(d *Daemon) *leaveKeeper {
	return &leaveKeeper{d: d, retentions: map[string]*retention{}}
}

// retain implements announce.Server.Retain.
func (k *leaveKeeper) retain(ctx context.Context, l leaves.Leave) *result.Error {
	r := k.begin(l)
	timeout := time.NewTimer(leaveAckTimeout)
	defer timeout.Stop()
	select {
	case <-r.done:
		if r.err != nil {
			return result.Errorf(result.LeaveNotRetained, "%v", r.err)
		}
		return nil
	case <-ctx.Done():
		return result.Errorf(result.LeaveNotRetained, "%v", ctx.Err())
	case <-timeout.C:
		return result.Errorf(result.LeaveNotRetained, "no source replied within %s", leaveAckTimeout)
	}
}

// begin returns the attempt to retain a leave, and starts one unless it runs or has succeeded.
func (k *leaveKeeper) begin(l leaves.Leave) *retention {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r := k.retentions[l.Boot]; r != nil && r.leave == l && !r.failed() {
		return r
	}
	if len(k.retentions) >= maxRetainedLeaves {
		clear(k.retentions)
	}
	r := &retention{leave: l, done: make(chan struct{})}
	k.retentions[l.Boot] = r
	go k.run(r)
	return r
}

// failed reports whether the attempt has ended with an error.
func (r *retention) failed() bool {
	select {
	case <-r.done:
		return r.err != nil
	default:
		return false
	}
}

func (k *leaveKeeper) run(r *retention) {
	defer close(r.done)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), retainTimeout)
	defer cancel()
	r.err = k.d.callSources(ctx, func(ctx context.Context, m settings.Member) error { return k.send(ctx, m, r.leave) })
	k.d.metrics.CountLeave(r.err == nil)
	values := []any{"boot", r.leave.Boot, "started", r.leave.Started, "sequence", r.leave.Sequence, "ended", r.leave.Ended, "took", time.Since(began).String()}
	if r.err != nil {
		k.d.log.Error(r.err, logLeaveNotRetained, values...)
		return
	}
	k.d.log.Info(logLeaveRetained, values...)
}

// send retains a leave through one source.
func (k *leaveKeeper) send(ctx context.Context, m settings.Member, l leaves.Leave) error {
	var reply RetainReply
	var err error
	if m.Node == k.d.settings.Node && k.d.source != nil {
		reply.Answer, err = k.d.source.RetainLeave(ctx, m.Node, l)
	} else {
		err = k.d.pool.CallTransient(ctx, m.Peer, sourceRetainLeave, RetainArgs{Node: k.d.settings.Node, Leave: l}, &reply)
	}
	k.d.learnSources(reply.Sources)
	if err == nil && reply.Answer.Code != result.Accepted {
		err = result.Errorf(reply.Answer.Code, "%s", reply.Answer.Detail)
	}
	return errors.Wrapf(err, "source %s", m.Node)
}

// callSources makes an idempotent call at the sources in turn until one succeeds or ctx ends. It
// does not wait longer than retainHedgeInterval for one before it also calls the next.
func (d *Daemon) callSources(ctx context.Context, call func(context.Context, settings.Member) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := d.reachableSources()
	if len(members) == 0 {
		return errNotSource
	}
	var last error
	results := make(chan error)
	running := 0
	next := time.NewTimer(0)
	defer next.Stop()
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return errors.CombineErrors(last, ctx.Err())
		case last = <-results:
			running--
			if last == nil {
				return nil
			}
		case <-next.C:
			next.Reset(retainHedgeInterval)
			if running >= len(members) {
				continue
			}
			m := members[turn%len(members)]
			turn, running = turn+1, running+1
			go func() {
				err := call(ctx, m)
				select {
				case results <- err:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// RetainLeave retains the leave of a backend server. It is idempotent.
func (s *sourceService) RetainLeave(args RetainArgs, reply *RetainReply) error {
	return s.handle(retainTimeout, func(ctx context.Context) (err error) {
		reply.Answer, err = s.d.source.RetainLeave(ctx, args.Node, args.Leave)
		reply.Sources = s.d.sources()
		return err
	})
}

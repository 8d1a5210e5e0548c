package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/request/allowance"
	"github.com/daisygate/daisygate/internal/request/retry"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Timing of the reports on the usage of allowances.
const (
	meterInterval      = 200 * time.Millisecond
	aggregatorInterval = 100 * time.Millisecond
	// urgentInterval is the minimum time between two reports of which the second is urgent.
	urgentInterval = 40 * time.Millisecond
	// unlimitedInterval is the time between two checks whether there are limits.
	unlimitedInterval = 500 * time.Millisecond
	// allowanceHeartbeat is the time after which a report is sent even if there is no usage.
	allowanceHeartbeat = 400 * time.Millisecond
	// allowanceTimeout is long enough for a busy daemon to answer: a report to another one
	// splits the knowledge of the usage.
	allowanceTimeout = 500 * time.Millisecond
	// allowanceAvoidance is how long a daemon that did not answer a report is passed over.
	allowanceAvoidance = 2 * time.Second
)

// RPC methods for reports.
const (
	allowanceAggregate = "Allowance.Aggregate"
	allowanceSettle    = "Allowance.Settle"
)

var errNoAllowancePeer = errors.New("no daemon is known that accepts the report")

// allowances limits the requests of organisations. It implements gateway.Allowances and drives
// the roles that this daemon has in package allowance.
type allowances struct {
	d *Daemon

	mu         sync.Mutex
	meter      *allowance.Meter
	aggregator *allowance.Aggregator
	ledger     *allowance.Ledger
	daemons    retry.DaemonCounter
	// placed is the directory from which aggregators and ledgers were selected.
	placed      *directory.Directory
	aggregators []allowance.Daemon
	ledgers     []allowance.Daemon
	// meterUrgent and sumUrgent receive a value when the next report is urgent.
	meterUrgent, sumUrgent chan struct{}
	// avoided holds the daemons that did not answer, and until when they are passed over.
	avoided map[string]time.Time
}

func newAllowances(d *Daemon, seed uint64) *allowances {
	a := &allowances{
		d: d, meter: allowance.NewMeter(seed), aggregator: allowance.NewAggregator(meterInterval),
		avoided: map[string]time.Time{}, meterUrgent: make(chan struct{}, 1), sumUrgent: make(chan struct{}, 1),
	}
	a.ledger = allowance.NewLedger(aggregatorInterval, d.settings.Organisations.LimitWindow, a.limitOf)
	return a
}

// Admit implements gateway.Allowances.
func (a *allowances) Admit(mesh string, o *snapshot.Organisation) (time.Duration, bool) {
	if o.Rate == 0 {
		return 0, true
	}
	name := allowance.Name{Mesh: mesh, Organisation: o.Name}
	a.mu.Lock()
	retryAfter, admitted := a.meter.Admit(time.Now(), name, a.toLimit(o))
	urgent := a.meter.Urgent()
	a.mu.Unlock()
	if urgent {
		wake(a.meterUrgent)
	}
	a.d.metrics.CountAllowance(mesh, o.Name, admitted)
	return retryAfter, admitted
}

// wake sends a value unless one is waiting.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Refund implements gateway.Allowances.
func (a *allowances) Refund(mesh string, o *snapshot.Organisation) {
	if o.Rate == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.Refund(allowance.Name{Mesh: mesh, Organisation: o.Name})
}

func (a *allowances) toLimit(o *snapshot.Organisation) allowance.Limit {
	return allowance.Limit{Rate: float64(o.Rate), Burst: float64(o.Burst), Slack: float64(a.d.settings.Organisations.LimitSlack)}
}

// limitOf returns the limit in force of an organisation.
func (a *allowances) limitOf(name allowance.Name) allowance.Limit {
	o := a.d.mesh.Directory().Snapshot.Organisation(name.Mesh, name.Organisation)
	if o == nil {
		return allowance.Limit{}
	}
	return a.toLimit(o)
}

// run sends the reports of this daemon until ctx ends.
func (a *allowances) run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { a.repeat(ctx, meterInterval, a.meterUrgent, a.reportUsage) })
	wait.Go(func() { a.repeat(ctx, aggregatorInterval, a.sumUrgent, a.reportSum) })
	wait.Wait()
}

// repeat calls report once per interval, and earlier if it is urgent. report returns whether it
// sent anything; after allowanceHeartbeat without a report, force is set.
func (a *allowances) repeat(ctx context.Context, interval time.Duration, urgent <-chan struct{}, report func(ctx context.Context, now time.Time, force bool) (bool, error)) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-urgent:
			time.Sleep(urgentInterval - time.Since(last))
		}
		now := time.Now()
		if !a.d.mesh.Directory().Snapshot.HasLimits() {
			timer.Reset(unlimitedInterval)
			continue
		}
		timer.Reset(interval)
		sent, err := report(ctx, now, now.Sub(last) >= allowanceHeartbeat)
		if sent {
			last = now
		}
		if err != nil {
			a.d.log.V(1).Info("report on the usage of allowances not delivered", "error", err.Error())
		}
	}
}

// observeVersion is called while the version in force is about to be replaced. Before a version is
// confirmed, nothing is known about limits.
func (a *allowances) observeVersion(now time.Time) {
	if !a.d.Ready() || a.d.mesh.Directory().Snapshot.HasLimits() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.Unlimited(now)
	a.ledger.Unlimited(now)
}

// reportUsage reports what this daemon admitted to its aggregator.
func (a *allowances) reportUsage(ctx context.Context, now time.Time, force bool) (sent bool, err error) {
	a.mu.Lock()
	a.place(now)
	usage := a.meter.Report(now)
	to, known := a.firstReachable(now, a.aggregators)
	a.mu.Unlock()
	if len(usage) == 0 && !force {
		return false, nil
	}
	if !known {
		return true, errNoAllowancePeer
	}
	reply, err := a.send(ctx, to, allowanceAggregate, allowance.Report{From: a.d.settings.Node, Usage: usage}, a.aggregate)
	if err != nil {
		return true, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.Acknowledge(time.Now(), reply)
	return true, nil
}

// reportSum reports what the daemons that report to this one admitted to the ledger.
func (a *allowances) reportSum(ctx context.Context, now time.Time, force bool) (sent bool, err error) {
	a.mu.Lock()
	if !a.aggregator.Active(now) {
		a.mu.Unlock()
		return false, nil
	}
	a.place(now)
	usage, members := a.aggregator.Report(), a.aggregator.Members()
	to, known := a.firstReachable(now, a.ledgers)
	a.mu.Unlock()
	if len(usage) == 0 && !force {
		return false, nil
	}
	if !known {
		return true, errNoAllowancePeer
	}
	reply, err := a.send(ctx, to, allowanceSettle, allowance.Report{From: a.d.settings.Node, Members: members, Usage: usage}, a.settle)
	if err != nil {
		return true, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aggregator.Acknowledge(time.Now(), reply)
	return true, nil
}

// send sends a report to a daemon, or passes it to local if that is this daemon.
func (a *allowances) send(ctx context.Context, to allowance.Daemon, method string, r allowance.Report, local func(*allowance.Report) allowance.Reply) (allowance.Reply, error) {
	if to.Name == a.d.settings.Node {
		return local(&r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, allowanceTimeout)
	defer cancel()
	var reply allowance.Reply
	err := a.d.pool.Call(ctx, to.Addr, method, r, &reply)
	if err != nil {
		a.mu.Lock()
		a.avoided[to.Name] = time.Now().Add(allowanceAvoidance)
		a.mu.Unlock()
	}
	return reply, errors.Wrapf(err, "daemon %s", to.Name)
}

// place selects aggregators and ledgers from the current directory. The caller holds a.mu.
func (a *allowances) place(now time.Time) {
	dir := a.d.mesh.Directory()
	if dir == a.placed {
		return
	}
	a.placed = dir
	all := make([]allowance.Daemon, 0, len(dir.Records))
	for _, r := range dir.Records {
		if !r.Leaving {
			all = append(all, allowance.Daemon{Name: r.Node.Name, Domain: r.Node.Domain, Addr: r.Node.Addr})
		}
	}
	a.aggregators = allowance.AggregatorsFor(a.d.settings.Node, a.d.settings.Domain, all)
	a.ledgers = allowance.LedgersFor(all)
	daemons := a.daemons.Daemons(now, len(all))
	a.meter.SetDaemons(daemons)
	a.ledger.SetDaemons(daemons)
}

// firstReachable returns the first daemon that is not passed over, or the first one if all are.
func (a *allowances) firstReachable(now time.Time, candidates []allowance.Daemon) (allowance.Daemon, bool) {
	for _, c := range candidates {
		if !now.Before(a.avoided[c.Name]) {
			delete(a.avoided, c.Name)
			return c, true
		}
	}
	if len(candidates) == 0 {
		return allowance.Daemon{}, false
	}
	return candidates[0], true
}

func (a *allowances) aggregate(r *allowance.Report) allowance.Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := a.aggregator.Receive(time.Now(), r)
	if a.aggregator.Urgent() {
		wake(a.sumUrgent)
	}
	return reply
}

func (a *allowances) settle(r *allowance.Report) allowance.Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Receive(time.Now(), r)
}

// allowanceService handles the reports of other daemons.
type allowanceService struct{ d *Daemon }

// Aggregate handles the report of a daemon's meter.
func (s *allowanceService) Aggregate(r allowance.Report, reply *allowance.Reply) error {
	*reply = s.d.allowances.aggregate(&r)
	return nil
}

// Settle handles the report of an aggregator.
func (s *allowanceService) Settle(r allowance.Report, reply *allowance.Reply) error {
	*reply = s.d.allowances.settle(&r)
	return nil
}

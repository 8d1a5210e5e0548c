package allowance

import (
	"slices"
	"time"
)

const (
	// restrictBelow is the part of the burst below which an organisation is restricted. It is
	// also restricted if its demand would take it there within reactionTime, the time from a
	// request until the shares that take it into account have reached all daemons. A restriction
	// ends above releaseAbove, unless the demand would renew it.
	restrictBelow = 0.1
	releaseAbove  = 0.4
	reactionTime  = 600 * time.Millisecond
	// predictionWindow is the time over which the demand is averaged for the prediction.
	predictionWindow = 200 * time.Millisecond
	// settlementTime is the time over which what is left of a limit is given out, or an excess
	// is saved.
	settlementTime = time.Second
	// leavingTime is the time over which the requests that leave the window next are averaged.
	leavingTime = 500 * time.Millisecond
	// maxRateRatio is the maximum rate given out, as a multiple of the mean rate of the limit.
	maxRateRatio = 1.2
	// takeoverTime is how long a new Ledger assumes that organisations have used up their
	// limits, because the previous one may have admitted their requests.
	takeoverTime = 2 * time.Second
)

// Ledger keeps the usage of all organisations within a sliding window. It is not safe for
// concurrent use.
type Ledger struct {
	interval time.Duration
	window   time.Duration
	members  members
	entries  map[Name]*entry
	// activeSince is when the first of an uninterrupted series of reports arrived, receivedAt
	// when the last one did.
	activeSince, receivedAt time.Time
	// unlimitedAt is when no organisation was last known to have a limit.
	unlimitedAt time.Time
	// daemons is the number of daemons of the fleet.
	daemons int
	// limit returns the limit of an organisation, with a Rate of 0 if it has none.
	limit func(Name) Limit
}

// NewLedger returns a Ledger to which aggregators report once per interval. An organisation may
// use its rate and once its burst within each window.
func NewLedger(interval, window time.Duration, limit func(Name) Limit) *Ledger {
	return &Ledger{interval: interval, window: window, members: newMembers(), entries: map[Name]*entry{}, limit: limit}
}

// SetDaemons sets the number of daemons of the fleet. A Ledger gives out only the part of each limit
// that corresponds to the daemons that report to it: while daemons disagree on which one holds the
// role, several Ledgers together then give out no more than the limits.
func (l *Ledger) SetDaemons(n int) { l.daemons = n }

// Unlimited records that no organisation has a limit. Under the first limits after that, the Ledger has
// no predecessor whose admissions it would have to assume.
func (l *Ledger) Unlimited(now time.Time) { l.unlimitedAt = now }

// takingOver reports whether a previous Ledger may have admitted requests that still count.
func (l *Ledger) takingOver(now time.Time) bool {
	return now.Sub(l.activeSince) < takeoverTime && l.activeSince.Sub(l.unlimitedAt) > memberTimeout
}

// coverage returns the part of the fleet that reports to this Ledger.
func (l *Ledger) coverage() float64 {
	if l.daemons == 0 {
		return 1
	}
	return min(float64(l.members.daemons())/float64(l.daemons), 1)
}

// Receive handles the report of an Aggregator.
func (l *Ledger) Receive(now time.Time, r *Report) Reply {
	if l.activeSince.IsZero() || now.Sub(l.receivedAt) > memberTimeout {
		l.activeSince = now
	}
	l.receivedAt = now
	l.members.expire(now)
	l.members.record(now, r, l.interval)
	for _, u := range r.Usage {
		l.charge(now, u)
	}
	reply, coverage := Reply{Attached: true}, l.coverage()
	for name, e := range l.entries {
		if now.Sub(e.usedAt) > accountTimeout {
			delete(l.entries, name)
			continue
		}
		if e.update(now, l.limit(name), coverage); e.restricted {
			reply.Shares = append(reply.Shares, Share{
				Name: name, Rate: l.members.share(r.From, name, e.rate()), Accept: e.accept(),
			})
		}
	}
	slices.SortFunc(reply.Shares, func(a, b Share) int { return a.Name.compare(b.Name) })
	return reply
}

func (l *Ledger) charge(now time.Time, u Usage) {
	limit := l.limit(u.Name)
	e := l.entries[u.Name]
	if e == nil {
		if limit.Rate == 0 {
			return
		}
		e = &entry{limit: limit, coverage: 1, window: newWindow(now, l.window), demandAt: now}
		if l.takingOver(now) {
			e.window.fill(limit.perWindow(l.window))
			e.restricted = true
		}
		l.entries[u.Name] = e
	}
	e.update(now, limit, l.coverage())
	e.usedAt = now
	e.window.add(float64(u.Admitted))
	e.requests += float64(max(u.Admitted, 0) + u.Refused)
}

// entry is the usage of one organisation.
type entry struct {
	limit Limit
	// coverage is the part of the limit that is given out.
	coverage   float64
	window     window
	usedAt     time.Time
	restricted bool
	// demand is the smoothed rate of requests, admitted or refused, and requests counts those
	// since demandAt.
	demand   float64
	requests float64
	demandAt time.Time
}

// update advances the window to now and decides on the restriction.
func (e *entry) update(now time.Time, limit Limit, coverage float64) {
	e.window.advance(now)
	e.updateDemand(now)
	e.coverage = coverage
	before, after := e.limit.perWindow(e.window.length()), limit.perWindow(e.window.length())
	if e.limit = limit; after < before {
		// What was admitted under a higher limit is not held against the organisation.
		e.window.scale(after / before)
	}
	burst := max(coverage*(limit.Burst+limit.Slack), 1)
	left := e.left()
	predicted := left + min(coverage*limit.Rate-e.demand, 0)*reactionTime.Seconds()
	switch {
	case limit.Rate == 0:
		e.restricted = false
	case predicted < restrictBelow*burst:
		e.restricted = true
	case left > releaseAbove*burst:
		e.restricted = false
	}
}

// updateDemand adds the requests since the last update to the smoothed demand.
func (e *entry) updateDemand(now time.Time) {
	elapsed := now.Sub(e.demandAt)
	if elapsed < predictionWindow/4 {
		return
	}
	weight := min(elapsed.Seconds()/predictionWindow.Seconds(), 1)
	e.demand += weight * (e.requests/elapsed.Seconds() - e.demand)
	e.requests, e.demandAt = 0, now
}

// left returns the number of requests that are left of the limit in the current window.
func (e *entry) left() float64 { return e.perWindow() - e.window.sum }

// perWindow returns the number of requests per window that are given out.
func (e *entry) perWindow() float64 { return e.coverage * e.limit.perWindow(e.window.length()) }

// rate returns the rate at which all daemons together may admit requests: that at which earlier
// ones leave the window, and what is left of the limit. It is bounded so that a burst does not
// recur whenever the previous one leaves the window.
func (e *entry) rate() float64 {
	leaving := e.window.oldest(leavingTime) / leavingTime.Seconds()
	mean := e.perWindow() / e.window.length().Seconds()
	return min(max(leaving+e.left()/settlementTime.Seconds(), 0), maxRateRatio*mean)
}

// accept returns the part of the demand that the rate covers.
func (e *entry) accept() float64 {
	rate := e.rate()
	if e.demand <= rate {
		return 1
	}
	return rate / e.demand
}

// slotLength is the resolution of a window.
const slotLength = 100 * time.Millisecond

// window counts requests within a sliding window.
type window struct {
	// slots hold the requests of the window, the current slot at index current.
	slots   []float64
	current int
	// startedAt is the start of the current slot.
	startedAt time.Time
	sum       float64
}

func newWindow(now time.Time, length time.Duration) window {
	return window{slots: make([]float64, max(int(length/slotLength), 1)), startedAt: now}
}

func (w *window) length() time.Duration { return time.Duration(len(w.slots)) * slotLength }

func (w *window) add(n float64) {
	w.slots[w.current] += n
	w.sum += n
}

// advance removes the slots that have left the window.
func (w *window) advance(now time.Time) {
	if now.Sub(w.startedAt) >= 2*w.length() {
		*w = newWindow(now, w.length())
		return
	}
	for ; now.Sub(w.startedAt) >= slotLength; w.startedAt = w.startedAt.Add(slotLength) {
		w.current = (w.current + 1) % len(w.slots)
		w.sum -= w.slots[w.current]
		w.slots[w.current] = 0
	}
}

// oldest returns the number of requests that leave the window within d.
func (w *window) oldest(d time.Duration) float64 {
	sum := 0.0
	for i := 1; i <= min(int(d/slotLength), len(w.slots)-1); i++ {
		sum += w.slots[(w.current+i)%len(w.slots)]
	}
	return sum
}

// fill spreads n requests evenly over the window.
func (w *window) fill(n float64) {
	for i := range w.slots {
		w.slots[i] = n / float64(len(w.slots))
	}
	w.sum = n
}

func (w *window) scale(factor float64) {
	for i := range w.slots {
		w.slots[i] *= factor
	}
	w.sum *= factor
}

package lineage

import (
	"slices"
	"time"
)

// maxParentKinds bounds the memory.
const maxParentKinds = 1024

// Parents estimates which of the runs in progress on an instance made a call. Runs of a kind are not
// told apart. A kind is the likelier the more runs of it are in progress and the more calls its runs made
// before. The zero value knows no runs. It is not safe for concurrent use.
type Parents struct {
	kinds map[string]*parentKind
}

// parentKind is what is known of the runs of a kind.
type parentKind struct {
	running int
	// priority is that of the run that began last.
	priority int
	// useful holds when the answer of each run in progress loses most of its value, if known.
	useful []time.Time
	// ended counts the runs that ended recently, and calls the calls that they are expected to have made.
	ended, calls decayingCount
}

// Parent is what is known of the run that made a call.
type Parent struct {
	// Priority is that of the run's request; 0 is the most urgent.
	Priority int
	// Useful is when the answer of the run loses most of its value, the mean over the runs that may
	// have made the call; zero if unknown.
	Useful time.Time
}

// Begin records the start of a run whose answer is useful until then, zero if that is unknown.
func (p *Parents) Begin(kind string, priority int, useful time.Time) {
	k := p.kinds[kind]
	if k == nil {
		if p.kinds == nil || len(p.kinds) >= maxParentKinds {
			p.kinds = map[string]*parentKind{}
		}
		k = &parentKind{}
		p.kinds[kind] = k
	}
	k.running++
	k.priority = priority
	if !useful.IsZero() {
		k.useful = append(k.useful, useful)
	}
}

// End records the end of a run, with the values of its Begin.
func (p *Parents) End(now time.Time, kind string, useful time.Time) {
	k := p.kinds[kind]
	if k == nil || k.running == 0 {
		return // forgotten since it began
	}
	k.running--
	k.ended.add(now, 1)
	if i := slices.IndexFunc(k.useful, useful.Equal); i >= 0 {
		k.useful = slices.Delete(k.useful, i, i+1)
	}
}

// Called records a call by one of the runs and returns the run that most likely made it; known is
// false if no run is in progress.
func (p *Parents) Called(now time.Time) (parent Parent, known bool) {
	total, best := 0.0, 0.0
	var likeliest *parentKind
	for _, k := range p.kinds {
		w := k.weight(now)
		total += w
		if w > best || w == best && w > 0 && k.priority < likeliest.priority {
			best, likeliest = w, k
		}
	}
	if likeliest == nil {
		return Parent{}, false
	}
	for _, k := range p.kinds {
		if w := k.weight(now); w > 0 {
			k.calls.add(now, w/total)
		}
	}
	return Parent{Priority: likeliest.priority, Useful: mean(likeliest.useful)}, true
}

// mean returns the mean of some points in time; zero without any.
func mean(times []time.Time) time.Time {
	if len(times) == 0 {
		return time.Time{}
	}
	var sum time.Duration
	for _, t := range times {
		sum += t.Sub(times[0])
	}
	return times[0].Add(sum / time.Duration(len(times)))
}

// weight is proportional to the probability that a run of the kind made a call.
func (k *parentKind) weight(now time.Time) float64 {
	return float64(k.running) * (1 + k.calls.valueAt(now)) / (1 + k.ended.valueAt(now))
}

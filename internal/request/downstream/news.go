package downstream

import (
	"slices"
	"time"
)

const (
	// maxLevelAge is the age at which a level no longer counts.
	maxLevelAge = time.Second
	// maxReports bounds the servers of which the levels are kept for one kind, and maxNewsKinds the
	// kinds.
	maxReports, maxNewsKinds = 16, 256
	// minReports is the number of servers whose recent levels an entry level needs, or all servers
	// if there are fewer.
	minReports = 3
	// outlierDivisor is the inverse of the fraction of the servers whose levels may be above the
	// entry level.
	outlierDivisor = 10
	// reportWeight is the weight of a new report in the smoothed level of a server.
	reportWeight = 0.5
)

// Report is the levels of one server for one kind of requests.
type Report struct {
	Kind, Server string
	// Boot identifies the start of the server.
	Boot   string
	Levels Levels
	// Age is the time since the levels were set.
	Age time.Duration
}

// News holds the levels that a daemon heard of for one service. It is not safe for concurrent use.
type News struct {
	kinds map[string][]heard
}

type heard struct {
	server, boot string
	levels       Levels
	setAt        time.Time
}

// NewNews returns News without reports.
func NewNews() *News { return &News{kinds: map[string][]heard{}} }

// Record records a report. Reports older than the last one of the same boot, out of date or with
// levels out of range are ignored.
func (n *News) Record(now time.Time, r Report) {
	if r.Age < 0 || r.Age >= maxLevelAge || !r.Levels.valid() {
		return
	}
	h := heard{server: r.Server, boot: r.Boot, levels: r.Levels, setAt: now.Add(-r.Age)}
	list := n.kinds[r.Kind]
	if list == nil && len(n.kinds) >= maxNewsKinds {
		clear(n.kinds)
	}
	i := slices.IndexFunc(list, func(o heard) bool { return o.server == r.Server })
	switch {
	case i < 0 && len(list) < maxReports:
		n.kinds[r.Kind] = append(list, h)
	case i < 0:
		list[oldest(list)] = h
	case list[i].boot == r.Boot && h.setAt.Before(list[i].setAt):
	case list[i].boot == r.Boot && now.Sub(list[i].setAt) < maxLevelAge:
		for p := range h.levels {
			h.levels[p] = list[i].levels[p] + reportWeight*(h.levels[p]-list[i].levels[p])
		}
		list[i] = h
	default:
		list[i] = h
	}
}

func oldest(list []heard) int {
	first := 0
	for i := range list {
		if list[i].setAt.Before(list[first].setAt) {
			first = i
		}
	}
	return first
}

// valid reports whether each level is in range; it is false for levels that are not numbers.
func (l *Levels) valid() bool {
	for _, v := range l {
		if !(v >= Floor && v <= 1) {
			return false
		}
	}
	return true
}

// Level returns the level above which nearly all of a service's servers would refuse a request, by
// what was heard. servers is the number of servers. Levels fade to 1 with their age.
func (n *News) Level(now time.Time, kindName string, priority, servers int) float64 {
	var buffer [maxReports]float64
	levels := buffer[:0]
	for i := range n.kinds[kindName] {
		h := &n.kinds[kindName][i]
		age := now.Sub(h.setAt)
		if age < 0 || age >= maxLevelAge {
			continue
		}
		left := 1 - age.Seconds()/maxLevelAge.Seconds()
		levels = append(levels, 1-left*(1-h.levels.Of(priority)))
	}
	if len(levels) == 0 || len(levels) < min(minReports, servers) {
		return 1
	}
	slices.Sort(levels)
	return levels[len(levels)-1-len(levels)/outlierDivisor]
}

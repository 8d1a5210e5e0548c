package rollout_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/daisygate/daisygate/internal/process/rollout"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// fault is how a target version is bad; the zero fault is a good version.
type fault struct {
	// share of the answers is bad: failed, or slow times as long.
	share float64
	slow  float64
	// from is the part of the time at which it turns bad.
	from float64
	// loaded makes only servers bad that have so many of their slots in use.
	loaded float64
	// route, if not "", is the only one that is bad.
	route string
}

// trouble is what else goes on.
type trouble struct {
	// greyShare of the servers of both versions fail greyRate of their requests, from greyAt on.
	greyShare, greyRate float64
	greyAt              time.Duration
	// greyFor is how long that lasts; 0 is to the end.
	greyFor time.Duration
	// baseGreyRate is what all servers of the version before fail meanwhile.
	baseGreyRate float64
	// slowShare of all servers take slowBy as long.
	slowShare, slowBy float64
	// leaderLost are the times at which the leader is lost for leaderGone.
	leaderLost []time.Duration
	// cold is how long new servers are slow.
	cold time.Duration
	// burst is the load from 4 s to 7 s, in multiples of the usual.
	burst float64
	// cutShare of the daemons do not hear of anything from cutAt on.
	cutShare float64
	cutAt    time.Duration
}

// scenario is one simulated roll-out.
type scenario struct {
	seed            uint64
	daemons         int
	servers, slots  int
	perSecond       float64
	routes          map[string]float64
	work            time.Duration
	within, timeout time.Duration
	usual           float64
	speeds          []float64
	bad             fault
	trouble         trouble
}

func usual(seed uint64) scenario {
	return scenario{
		seed: seed, daemons: 69, servers: 55, slots: 12, perSecond: 1390, routes: map[string]float64{"lookup": 0.45, "transfer": 0.55},
		speeds: []float64{0.7, 0.7, 1.6}, work: 300 * time.Millisecond, within: 12 * time.Second, timeout: 2 * time.Second, usual: 0.001,
	}
}

// ended is how a simulated roll-out ended.
type ended struct {
	stage fleet.Stage
	why   string
	at    time.Duration
	spent int
	all   int
	bad   int
	fifty time.Duration
	last  time.Duration
	// worst is the most that the target version had of all requests above a share of 0.08
	// and 30 besides, before the time of the handover.
	over float64
	// cut are requests at servers of the version before when the roll-out completed, and
	// sent there later by daemons in touch.
	cut int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

type node struct {
	name    string
	account *canary.Account
	rollout fleet.Rollout
	version uint64
	cut     bool
	running map[string]int
}

type server struct {
	addr    string
	version string
	node    *node
	running int
	speed   float64
	grey    bool
	slow    bool
}

type sim struct {
	scenario
	r       *rand.Rand
	now     time.Duration
	q       events
	seq     int
	nodes   []*node
	base    []*server
	target  []*server
	core    *rollout.Core
	lead    bool
	fresh   *rollout.Core
	rollout fleet.Rollout
	version uint64
	pending bool
	// handed is set once every request was to go to the target version.
	handed bool
	out    ended
	epoch  time.Time
	names  []string
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.q, event{s.now + d, s.seq, do})
}

func (s *sim) clock() time.Time { return s.epoch.Add(s.now) }

// run plays a scenario to the end of its time.
func (sc scenario) run() ended {
	s := &sim{scenario: sc, r: rand.New(rand.NewPCG(sc.seed, 7)), epoch: time.Unix(1_000_000, 0), lead: true, version: 5}
	for name := range sc.routes {
		s.names = append(s.names, name)
	}
	if len(s.names) > 1 && s.names[0] > s.names[1] {
		s.names[0], s.names[1] = s.names[1], s.names[0]
	}
	s.rollout = fleet.Rollout{Number: 1, Version: "v1", Target: "v2", Stage: fleet.Canary, Within: sc.within, Ordered: s.epoch}
	for i := range sc.daemons {
		s.nodes = append(s.nodes, &node{name: fmt.Sprint("n", i), running: map[string]int{}})
	}
	for i := range sc.servers {
		for _, v := range []string{"v1", "v2"} {
			sv := &server{addr: fmt.Sprint(v, "-", i), version: v, node: s.nodes[i%sc.daemons], speed: sc.speeds[s.r.IntN(len(sc.speeds))]}
			sv.grey = s.r.Float64() < sc.trouble.greyShare
			sv.slow = s.r.Float64() < sc.trouble.slowShare
			if v == "v1" {
				s.base = append(s.base, sv)
			} else {
				s.target = append(s.target, sv)
			}
		}
	}
	s.core = rollout.New(budget)
	s.fresh = rollout.New(budget) // watches on another source
	for i, n := range s.nodes {
		n.rollout = s.rollout
		credit := 0
		if s.r.IntN(sc.daemons) >= 0 {
			credit = budget.Credit(i, sc.daemons)
		}
		s.after(s.spread(), func() { s.install(n, s.rollout, s.version, credit) })
		s.after(time.Duration(s.r.IntN(350))*time.Millisecond, func() { s.reportLoop(n) })
		if s.r.Float64() < sc.trouble.cutShare {
			s.after(sc.trouble.cutAt, func() { n.cut = true })
		}
	}
	s.after(0, s.tick)
	s.after(0, s.arrive)
	for _, at := range sc.trouble.leaderLost {
		s.after(at, func() { s.lead = false })
		s.after(at+time.Second, func() { s.core, s.fresh, s.lead = s.fresh, rollout.New(budget), true; s.core.Follow() })
	}
	for len(s.q) > 0 && s.now < sc.within+2*time.Second {
		e := heap.Pop(&s.q).(event)
		s.now = e.at
		e.do()
	}
	s.out.stage, s.out.why = s.rollout.Stage, s.rollout.Why
	return s.out
}

var budget = canary.Budget{Share: 0.1, Slack: 50}

func (s *sim) spread() time.Duration { return time.Duration(100+s.r.IntN(700)) * time.Millisecond }

// install puts a stage in force at a daemon.
func (s *sim) install(n *node, r fleet.Rollout, version uint64, credit int) {
	if n.cut || version < n.version {
		return
	}
	n.version, n.rollout = version, r
	if n.account == nil && r.Stage.Running() {
		n.account = canary.NewAccount(&r, budget, credit)
	} else if n.account != nil {
		n.account.Enter(&r)
	}
}

func (s *sim) load() float64 {
	if s.trouble.burst > 0 && s.now > 4*time.Second && s.now < 7*time.Second {
		return s.trouble.burst
	}
	return 1
}

func (s *sim) arrive() {
	s.after(time.Duration(s.r.ExpFloat64()/(s.perSecond*s.load())*float64(time.Second)), s.arrive)
	n := s.nodes[s.r.IntN(len(s.nodes))]
	route := s.names[0]
	if len(s.names) > 1 && s.r.Float64() > s.routes[route] {
		route = s.names[1]
	}
	first, list := "v1", s.base
	limit := 0
	if n.account != nil && n.rollout.Stage.Running() {
		arm, _ := n.account.Choose(s.clock(), route, !n.cut)
		first, limit = arm.Version, arm.First
		n.account.Sent(first)
	} else if n.rollout.Stage == fleet.Completed {
		first = "v2"
	}
	if first == "v2" {
		list = s.target
		if limit > 0 {
			from := limit * 7 % len(list) // each number of servers has an order of its own
			list = append(append([]*server(nil), list[from:]...), list[:from]...)[:min(limit, len(list))]
		}
	}
	sv := list[s.r.IntN(len(list))]
	for range 3 { // the balancer avoids full servers
		if o := list[s.r.IntN(len(list))]; sv.running >= s.slots || o.running < sv.running {
			sv = o
		}
	}
	if stage := sv.node.rollout.Stage; sv.version == "v1" && (stage == fleet.Handover || stage == fleet.Completed) {
		return // the daemon beside the server refuses it
	}
	if sv.running >= s.slots+4 {
		return // refused, has not run
	}
	if first == "v1" && s.rollout.Stage == fleet.Completed && !n.cut {
		s.out.cut++
	}
	s.serve(n, sv, route)
}

func (s *sim) greyNow() bool {
	t := &s.trouble
	return s.now > t.greyAt && (t.greyFor == 0 || s.now < t.greyAt+t.greyFor)
}

func (s *sim) isBad(sv *server, route string) bool {
	b := s.bad
	if sv.version != "v2" || b.share == 0 || s.now < time.Duration(b.from*float64(s.within)) {
		return false
	}
	if b.route != "" && b.route != route || float64(sv.running) < b.loaded*float64(s.slots) {
		return false
	}
	return s.r.Float64() < b.share
}

func (s *sim) serve(n *node, sv *server, route string) {
	sv.running++
	if s.now < s.within {
		s.out.all++
	}
	took := float64(s.work) * math.Exp(s.r.NormFloat64()*0.5-0.125) / sv.speed
	failed := s.r.Float64() < s.usual
	if sv.version == "v1" {
		failed = failed || s.greyNow() && s.r.Float64() < s.trouble.baseGreyRate
	} else {
		if s.now < s.within {
			s.out.spent++
		}
		s.out.last = s.now
		if s.now < s.trouble.cold {
			took *= 2
		}
	}
	if sv.grey && s.greyNow() {
		failed = failed || s.r.Float64() < s.trouble.greyRate
	}
	if sv.slow {
		took *= s.trouble.slowBy
	}
	if bad := s.isBad(sv, route); bad && s.bad.slow > 0 {
		took *= s.bad.slow
		s.countBad(time.Duration(took))
	} else if bad {
		failed = true
		s.countBad(time.Duration(took))
	}
	d := min(time.Duration(took), s.timeout)
	failed = failed || d == s.timeout
	s.after(d, func() {
		sv.running--
		if n.account != nil {
			before := n.account.Bad()
			n.account.Answered(canary.Answer{Route: route, Version: sv.version, Server: sv.addr, Failed: failed, Took: d})
			if n.account.Bad() > before {
				s.after(125*time.Millisecond, func() { s.send(n) })
			}
		}
		if sv.version == "v2" && !s.handed {
			s.out.over = max(s.out.over, float64(s.out.spent)-0.08*float64(s.out.all)-30)
		}
	})
}

func (s *sim) countBad(after time.Duration) {
	s.after(after, func() {
		s.out.bad++
		if s.out.bad == 50 {
			s.out.fifty = s.now
		}
	})
}

func (s *sim) reportLoop(n *node) {
	s.after(max(250*time.Millisecond, time.Duration(s.daemons)*5*time.Millisecond), func() { s.reportLoop(n) })
	s.send(n)
}

func (s *sim) send(n *node) {
	if n.cut || n.account == nil {
		return
	}
	running := 0
	for _, sv := range s.base {
		if sv.node == n {
			running += sv.running
		}
	}
	report := &rollout.Report{Node: n.name, Incarnation: 1, Version: n.version, Services: []rollout.ServiceReport{{
		ServiceName: name, Number: 1, Tally: n.account.Tally(), Running: running,
	}}}
	s.after(20*time.Millisecond, func() {
		if s.lead {
			s.core.Report(s.clock(), report)
		}
	})
}

var name = source.ServiceName{Mesh: "m", Service: "s"}

func (s *sim) fleet() *rollout.Fleet {
	current := s.rollout
	warm := s.servers * s.slots
	if s.now < s.trouble.cold {
		warm = 0
	}
	f := &rollout.Fleet{Version: s.version, Services: []rollout.Service{{
		ServiceName: name, Rollout: &current, Timeout: s.timeout,
		Sides: map[string]rollout.Side{
			"v1": {Servers: s.servers, Slots: s.servers * s.slots, WarmSlots: s.servers * s.slots},
			"v2": {Servers: s.servers, Slots: s.servers * s.slots, WarmSlots: warm},
		},
	}}}
	for _, n := range s.nodes {
		f.Daemons = append(f.Daemons, n.name)
	}
	return f
}

// tick is the leader's look, and the commit of what it decides.
func (s *sim) tick() {
	s.after(100*time.Millisecond, s.tick)
	f := s.fleet()
	s.core.Watch(s.clock(), s.clock(), false, f.Services)
	s.fresh.Watch(s.clock(), s.clock(), false, f.Services)
	if !s.lead || s.pending {
		return
	}
	for _, step := range s.core.Tick(s.clock(), f) {
		s.pending = true
		s.after(60*time.Millisecond, func() {
			s.pending = false
			next, err := s.rollout.Advance(step.Stage, step.Servers, step.Why, s.clock())
			if err != nil {
				return
			}
			s.commit(next)
		})
	}
}

func (s *sim) commit(next *fleet.Rollout) {
	s.version++
	s.rollout = *next
	if next.Stage.Final() {
		s.out.at = s.now
	}
	s.handed = s.handed || next.Stage == fleet.Handover
	if next.Stage == fleet.Completed {
		for _, sv := range s.base {
			if !sv.node.cut {
				s.out.cut += sv.running
			}
		}
	}
	version, r := s.version, s.rollout
	for _, n := range s.nodes {
		s.after(s.spread(), func() { s.install(n, r, version, 0) })
	}
}

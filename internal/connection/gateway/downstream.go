package gateway

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisygate/daisygate/internal/request/downstream"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

const (
	// headerDraw is the random number of a request in millionths, in [0, drawSteps). All
	// admission levels are compared with the same number.
	headerDraw = headerPrefix + "Draw"
	// headerLevels holds the admission levels of the server for requests like the one it
	// responds to: a hash of the server's boot, the age in microseconds, and the level of each
	// priority in thousandths, from 0 on; the last one repeats.
	headerLevels = headerPrefix + "Levels"

	drawSteps  = 1_000_000
	levelSteps = 1000
)

// runAdmission is the downstream.Server of a backend server of this instance.
type runAdmission struct {
	mu    sync.Mutex
	core  *downstream.Server
	boot  string
	drops atomic.Uint64
	// limited is set while a level is below 1.
	limited bool
}

// of returns the state for a boot of the server; it is new if the server was restarted. The caller
// must hold a.mu.
func (a *runAdmission) of(boot string) *downstream.Server {
	if a.core == nil || a.boot != boot {
		a.core, a.boot, a.limited = downstream.NewServer(), boot, false
	}
	return a.core
}

// levelNews is a downstream.News shared between goroutines.
type levelNews struct {
	mu   sync.Mutex
	core *downstream.News
}

func (n *levelNews) record(r downstream.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		n.core = downstream.NewNews()
	}
	n.core.Record(time.Now(), r)
}

// level returns the entry level of requests for a service with the given number of servers.
func (n *levelNews) level(kind string, priority, servers int) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return 1
	}
	return n.core.Level(time.Now(), kind, priority, servers)
}

// admitEntry refuses a request that nearly all servers of the service would refuse because the calls
// of such runs fail. It draws the request's random number. Calls of runs have number 0, which every
// level admits: refusing one ends a run that holds a slot already.
func (x *exchange) admitEntry() *refusal {
	if !x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		return nil
	}
	if x.sender.mayBeCall() {
		x.findParent()
		return nil
	}
	x.draw = float64(rand.IntN(drawSteps)) / drawSteps
	priority := x.priority()
	level := x.g.service(x.target.Key).levels.level(x.route.Name, priority, len(x.dir.Candidates(x.target.Key)))
	if x.draw < level {
		return nil
	}
	x.g.entryRefusals.Add(1)
	return refuseByLevel(x.route.Name, priority, level, downstream.RetryAfter(level, x.draw))
}

func refuseByLevel(route string, priority int, level float64, retryAfter time.Duration) *refusal {
	return &refusal{Error: result.Errorf(result.CallsFailing, "route %s, priority %d: %.2f of the requests are admitted", route, priority, level), retryAfter: retryAfter}
}

// admitRun refuses a request if runs of its kind fail because of their calls, before it takes a slot.
// Calls of runs are neither refused nor counted.
func (g *Gateway) admitRun(b *backend, req *backendRequest, boot string) *refusal {
	if req.isCall || !g.cfg.Directory().Snapshot.SharesLoad(req.request.Mesh) {
		return nil
	}
	now := time.Now()
	b.runs.mu.Lock()
	core := b.runs.of(boot)
	retryAfter, admitted := core.Admit(now, downstream.Arrival{
		Kind: req.route, Priority: req.priority, Draw: req.draw,
		Waiting: b.gate.anyWaiting(req.priority, func(kind string) bool { return !core.Dependent(kind) }),
	})
	level := core.Level(req.priority)
	levels, age := core.Levels(now, req.route)
	b.runs.mu.Unlock()
	if !req.remote {
		key := snapshot.ServiceKey{Mesh: req.request.Mesh, Name: req.request.Service}
		g.service(key).levels.record(downstream.Report{Kind: req.route, Server: req.addr, Boot: hashBoot(boot), Levels: levels, Age: age})
	}
	if admitted {
		return nil
	}
	b.runs.drops.Add(1)
	refused := refuseByLevel(req.route, req.priority, level, retryAfter)
	g.cfg.Observer.Refused(Refused{Server: req.addr, Code: refused.Code})
	return refused
}

// recordRun records how a run ended, if that says something about its calls.
func (g *Gateway) recordRun(b *backend, req *backendRequest, resp *http.Response, refused *refusal) {
	late := refused != nil && refused.Code == result.DeadlineExceeded
	if req.isCall || (resp == nil && !late) || !g.cfg.Directory().Snapshot.SharesLoad(req.request.Mesh) {
		return
	}
	failed := late || resp.StatusCode >= http.StatusInternalServerError
	if level, failures, changed := b.runs.runEnded(req, failed); changed {
		g.log.Info("admission level changed because of calls of runs", "server", req.addr, "limited", level < 1, "level", level, "route", req.route, "call_failures", failures)
	}
}

// runEnded records how a run ended. changed reports whether the lowest level has left 1 or is back at
// it. Runs of an earlier boot are ignored.
func (a *runAdmission) runEnded(req *backendRequest, failed bool) (level float64, callFailures map[string]float64, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core == nil || a.boot != req.boot {
		return 0, nil, false
	}
	now := time.Now()
	a.core.RunEnded(now, req.route, req.serverTime, failed)
	level = a.core.Lowest()
	if limited := level < 1; limited == a.limited {
		return level, nil, false
	}
	a.limited = !a.limited
	return level, a.core.CallFailureRates(now), true
}

// recordCall records how a call of a run on this instance ended.
func (x *exchange) recordCall(resp *http.Response, refused *refusal) {
	if !x.sender.isCall() || (refused != nil && refused.Code == result.CallerLeft) {
		return
	}
	failed := refused != nil || resp.StatusCode >= http.StatusInternalServerError
	now := time.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	for _, b := range x.g.backends {
		if !b.removed && b.server.Mesh == x.route.Mesh && b.server.Service == x.origin {
			b.runs.mu.Lock()
			b.runs.of(b.server.Boot).CallEnded(now, x.target.Name, failed)
			b.runs.mu.Unlock()
		}
	}
}

// writeLevels adds the admission levels of a backend server of this instance to a response.
func (g *Gateway) writeLevels(h http.Header, req *backendRequest) {
	if !g.cfg.Directory().Snapshot.SharesLoad(req.request.Mesh) {
		return
	}
	b, server := g.backendAt(req.addr)
	if b == nil {
		return
	}
	b.runs.mu.Lock()
	core := b.runs.of(server.Boot)
	levels, age := core.Levels(time.Now(), req.route)
	makesCalls := core.MakesCalls()
	b.runs.mu.Unlock()
	if makesCalls {
		h.Set(headerLevels, formatLevels(hashBoot(server.Boot), levels, age))
	}
}

// readLevels records the admission levels that the daemon beside a server reported. Those of another
// boot of the server are ignored.
func (x *exchange) readLevels(to *directory.Candidate, h http.Header) {
	text := h.Get(headerLevels)
	if text == "" || !x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		return
	}
	boot, levels, age, ok := parseLevels(text)
	if !ok || boot != hashBoot(to.Server.Boot) {
		return
	}
	x.g.service(x.target.Key).levels.record(downstream.Report{Kind: x.route.Name, Server: to.Server.Addr, Boot: boot, Levels: levels, Age: age})
}

// hashBoot returns a short text that differs between the boots of a server.
func hashBoot(boot string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(boot))
	return strconv.FormatUint(uint64(h.Sum32()), 16)
}

func formatLevels(boot string, levels downstream.Levels, age time.Duration) string {
	last := len(levels) - 1
	for last > 0 && levels[last-1] == levels[last] {
		last--
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s,%d", boot, age.Microseconds())
	for _, l := range levels[:last+1] {
		fmt.Fprintf(&text, ",%d", int(math.Round(l*levelSteps)))
	}
	return text.String()
}

func parseLevels(text string) (boot string, levels downstream.Levels, age time.Duration, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) < 3 || len(fields) > len(levels)+2 {
		return "", levels, 0, false
	}
	micros, err := strconv.ParseUint(fields[1], 10, 32)
	if err != nil {
		return "", levels, 0, false
	}
	for p := range levels {
		n, err := strconv.ParseUint(fields[min(p+2, len(fields)-1)], 10, 16)
		if err != nil {
			return "", levels, 0, false
		}
		levels[p] = float64(n) / levelSteps
	}
	return fields[0], levels, time.Duration(micros) * time.Microsecond, true
}

// parseDraw returns the random number of a forwarded request. It is 0, which every level admits, if the
// request has none: an older release does not know the code of the refusal.
func parseDraw(h http.Header) float64 {
	if n, ok := parseIntHeader(h, headerDraw); ok && n < drawSteps {
		return float64(n) / drawSteps
	}
	return 0
}

// writeDraw adds the request's random number to the headers of a forwarded call.
func (x *exchange) writeDraw(h http.Header) {
	if x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		h[headerDraw] = []string{strconv.Itoa(int(math.Round(x.draw * drawSteps)))}
	}
}

// minUseful stands for the useful time left of a request that is late already; 0 would mean that it has
// no target.
const minUseful = time.Millisecond

// noRoom reports whether, after a refusal for lack of room, recent reports say that all other servers
// would refuse too. It then sets when to retry. Reports say nothing about calls of runs, which use
// slots that count as taken and are admitted up to their deadline.
func (x *exchange) noRoom(refused *refusal) bool {
	if x.route.Target == 0 || x.sender.isCall() || !x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		return false
	}
	s := x.call.service
	s.mu.Lock()
	retryAfter, none := x.call.call.NoRoom(time.Now(), rand.Uint64(), refused.Code, max(time.Until(x.usefulUntil()), minUseful), x.priority())
	s.mu.Unlock()
	if !none {
		return false
	}
	x.g.shortRefusals.Add(1)
	refused.retryAfter = retryAfter
	return true
}

// EndToEnd is what a daemon decided because of the calls of runs and of the load of all servers.
type EndToEnd struct {
	// Entry counts the requests refused before a hop because nearly all servers would refuse them,
	// and NoRoom those answered after one attempt because no other server has room.
	Entry, NoRoom uint64
	// Servers holds the state of the backend servers of this instance that make calls.
	Servers []RunAdmission
}

// RunAdmission is the state of one backend server that makes calls.
type RunAdmission struct {
	Server string
	// Level is the admission level of the least urgent priority.
	Level float64
	// Refused counts the requests that a level refused.
	Refused uint64
	// CallFailures is the smoothed fraction of calls that fail, by called service.
	CallFailures map[string]float64
}

// EndToEnd returns the counts and the state of the backend servers of this instance.
func (g *Gateway) EndToEnd() EndToEnd {
	e := EndToEnd{Entry: g.entryRefusals.Load(), NoRoom: g.shortRefusals.Load()}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, b := range g.backends {
		b.runs.mu.Lock()
		if core := b.runs.core; !b.removed && core != nil && core.MakesCalls() {
			e.Servers = append(e.Servers, RunAdmission{
				Server: addr, Level: core.Lowest(), Refused: b.runs.drops.Load(), CallFailures: core.CallFailureRates(now),
			})
		}
		b.runs.mu.Unlock()
	}
	return e
}

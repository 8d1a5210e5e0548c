package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/quarantine"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// probeTimeout bounds the check whether a backend server is still listening.
	probeTimeout = 200 * time.Millisecond
	// probeDelay gives an exiting server time to close its listener after its
	// connections.
	probeDelay = 50 * time.Millisecond
	// crashReportDelay is how long the response to a request in progress at a crash is
	// delayed, so that the crash reports propagate before the request is sent again.
	crashReportDelay = 100 * time.Millisecond
	// retryAfterCrash is when a caller may retry a request that was in progress at a
	// crash: the fleet knows of the crash by then.
	retryAfterCrash = time.Second
	// abandonedCheckDelay is when a server is checked after an isolated run was abandoned there: nothing
	// else runs on it that would reveal a crash. It is shorter than quarantine.AbandonedWindow by
	// more than probeTimeout.
	abandonedCheckDelay = quarantine.AbandonedWindow - 300*time.Millisecond
	// retainInterval is the time between two updates of the retained suspects.
	retainInterval = 100 * time.Millisecond
	// maxIsolationWait bounds how long a suspect waits for its server to become idle; the
	// server starts no other request meanwhile.
	maxIsolationWait = time.Second
	// isolationReserve is the time that a suspect needs after that wait, as a multiple of the usual
	// duration of its kind.
	isolationReserve = 2
)

// screen checks the request before it is dispatched. For suspects it returns the pin that
// selects their server.
func (x *exchange) screen() (pin uint64, refused *refusal) {
	if refused := x.readSuspectBody(); refused != nil {
		return 0, refused
	}
	x.request.Body = x.body.buffered
	s := x.g.screen(x.request)
	if s.Refusal != nil {
		return 0, &refusal{Error: s.Refusal, retryAfter: s.RetryAfter}
	}
	x.request.Isolated = s.Isolated
	return s.Pin, nil
}

// readSuspectBody reads a small body that is sent in chunks if the request may be a suspect, so
// that it is recognized like one whose length is known.
func (x *exchange) readSuspectBody() *refusal {
	if x.r.ContentLength >= 0 || x.g.cfg.CrashScreener == nil || !x.g.cfg.CrashScreener.NeedsBody(x.request) {
		return nil
	}
	if err := x.body.bufferSmall(); err != nil {
		return newRefusal(result.BadRequest, "the request body is incomplete: "+err.Error())
	}
	return nil
}

// isolate marks a request as isolated after its server crashed, before other daemons know
// of the crash, so that the next attempt affects no other request. It reports whether
// another attempt is allowed.
func (x *exchange) isolate(refused *refusal, node string) bool {
	if refused.Code != result.BackendCrashed || x.g.cfg.CrashScreener == nil {
		return true
	}
	s := x.g.cfg.CrashScreener.ReportCrash(x.request, node)
	mayRetry := s.Refusal == nil && !x.request.Isolated
	x.request.Isolated = true
	x.call.isolate(s.Pin)
	return mayRetry
}

func (c *lockedCall) isolate(pin uint64) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.call.Isolate(pin)
}

// admitSuspect screens a request on the backend server's instance: before it waits for a
// slot, and again afterwards because another request may have crashed the server
// meanwhile.
func (g *Gateway) admitSuspect(req *backendRequest) *refusal {
	s := g.screen(req.request)
	if s.Refusal != nil {
		return &refusal{Error: s.Refusal, retryAfter: s.RetryAfter}
	}
	req.request.Isolated = req.request.Isolated || s.Isolated
	return nil
}

// ticket returns the ticket to wait with for a slot. typicalTime returns the usual duration of requests
// of a kind, or 0; it is called for suspects only.
func (req *backendRequest) ticket(now time.Time, typicalTime func(kind string) time.Duration) admit.Ticket {
	t := admit.Ticket{
		Priority: req.priority, Organisation: req.request.Organisation, Weight: req.weight,
		Deadline: req.deadline, Useful: req.usefulUntil, Kind: req.route, Alone: req.request.Isolated, Call: req.isCall, RunUseful: req.isCall && req.callStatement.ofParent,
	}
	if t.Alone {
		t.Deadline = latestIsolation(now, req.deadline, typicalTime(req.route))
	}
	return t
}

// latestIsolation returns until when a suspect with the given deadline waits for its server to become
// idle. It must have the time to end, otherwise its run proves nothing.
func latestIsolation(now, deadline time.Time, typical time.Duration) time.Time {
	left := deadline.Sub(now)
	reserve := min(isolationReserve*typical, left/2)
	return now.Add(min(left-reserve, maxIsolationWait))
}

// QuarantineConfig holds the settings of a Quarantine; they do not change afterwards.
type QuarantineConfig struct {
	// Self is the name of this daemon.
	Self string
	// Directory returns the current directory, which contains the reports of the other
	// daemons.
	Directory func() *directory.Directory
	// Publish replaces the suspects that this daemon reports.
	Publish func([]presence.Suspect)
	// SlowRestart is passed on to package quarantine.
	SlowRestart bool
	// Retain keeps the requests of the whole fleet that are proven to crash servers. It is called
	// from Run when they have changed. If it is set, this daemon reports them too, so that they
	// outlive the daemons that observed the crashes; nil retains nothing.
	Retain func([]presence.Suspect)
}

// Quarantine isolates or refuses requests that crash backend servers. It implements
// CrashScreener.
type Quarantine struct {
	cfg QuarantineConfig
	log logr.Logger

	mu   sync.Mutex
	core *quarantine.Core
	// learnedFrom is the directory whose reports core has processed.
	learnedFrom *directory.Directory
	// retained are the suspects last passed to QuarantineConfig.Retain.
	retained []presence.Suspect
	counters QuarantineCounters
	// trialLines limits the log lines about quarantined requests that run.
	trialLines *rate.Limiter
}

// NewQuarantine returns a Quarantine.
func NewQuarantine(cfg QuarantineConfig, log logr.Logger) *Quarantine {
	core := quarantine.DefaultConfig()
	core.SlowRestart = cfg.SlowRestart
	return &Quarantine{cfg: cfg, log: log, core: quarantine.New(core), trialLines: rate.NewLimiter(trialLinesPerSecond, trialLinesPerSecond)}
}

// NeedsBody implements CrashScreener.
func (q *Quarantine) NeedsBody(r *Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateReports()
	id := identityOf(r)
	return q.core.HasSuspectLike(time.Now(), id.Fingerprint())
}

// Screen implements CrashScreener.
func (q *Quarantine) Screen(r *Request) Screening {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateReports()
	if q.core.Empty() && !r.Isolated {
		return Screening{}
	}
	id := identityOf(r)
	return q.judge(time.Now(), &id, r.Isolated)
}

// ReportCrash implements CrashScreener.
func (q *Quarantine) ReportCrash(r *Request, node string) Screening {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateReports()
	id := identityOf(r)
	now := time.Now()
	if q.core.ReportRemoteCrash(now, &id, node, r.Isolated) {
		q.publish()
	}
	q.reportEvents()
	return q.judge(now, &id, true)
}

func (q *Quarantine) judge(now time.Time, id *quarantine.Identity, isolated bool) Screening {
	v := q.core.Judge(now, id)
	if v.Renew {
		q.core.Renew(now, id)
		q.publish()
	}
	q.reportVerdict(v, id)
	switch {
	case v.Mode == quarantine.Refused:
		code := result.Quarantined
		return Screening{Refusal: result.Errorf(code, "%s", code.Meaning()), RetryAfter: v.Until.Sub(now)}
	case v.Mode == quarantine.Alone || isolated:
		return Screening{Isolated: true, Pin: uint64(id.Content())}
	}
	return Screening{}
}

// Known returns the number of suspected requests in the fleet.
func (q *Quarantine) Known() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateReports()
	return q.core.Known(time.Now())
}

// Proven returns the requests of the fleet that crashed servers while they ran alone.
func (q *Quarantine) Proven() []presence.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateReports()
	return presenceSuspects(q.core.Proven(time.Now()))
}

// Release ends the refusal of a request on an operator's order, in the whole fleet. It reports whether
// the request was a suspect.
func (q *Quarantine) Release(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateReports()
	f := quarantine.Fingerprint(fingerprint)
	released := q.core.Release(time.Now(), f)
	if released {
		q.log.Info("suspect request released by an operator", "fingerprint", formatFingerprint(f))
		q.publish()
	}
	return released
}

// updateReports processes the reports of the directory if it has changed.
func (q *Quarantine) updateReports() {
	dir := q.cfg.Directory()
	if dir == q.learnedFrom {
		return
	}
	q.learnedFrom = dir
	own := map[quarantine.Fingerprint]bool{}
	for _, s := range q.core.Reports() {
		own[s.Fingerprint] = true
	}
	var reports []quarantine.Suspect
	for _, r := range dir.Records {
		self := r.Node.Name == q.cfg.Self
		for _, s := range r.Suspects {
			f := quarantine.Fingerprint(s.Fingerprint)
			if self && own[f] {
				continue
			}
			// Reports of an earlier process of this daemon are treated like those of
			// another daemon.
			reports = append(reports, quarantine.Suspect{
				Fingerprint: f, Content: quarantine.Content(s.Content), Crashes: s.Crashes, Until: time.UnixMilli(s.Until), ObservedElsewhere: s.Told || self, Source: r.Node.Name,
			})
		}
	}
	q.core.Learn(time.Now(), reports)
}

func identityOf(r *Request) quarantine.Identity {
	return quarantine.Identity{
		Mesh: r.Mesh, Method: r.HTTP.Method, Path: r.HTTP.URL.Path, Query: r.HTTP.URL.RawQuery,
		Origin: r.Origin, Organisation: r.Organisation, ContentLength: r.HTTP.ContentLength, Body: r.Body,
	}
}

// Begin implements CrashScreener.
func (q *Quarantine) Begin(addr string, r *Request) Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &suspectRun{q: q, addr: addr, r: r, runID: q.core.Begin(time.Now(), addr, identityOf(r), r.Isolated)}
}

// suspectRun is a run monitored by a Quarantine.
type suspectRun struct {
	q     *Quarantine
	addr  string
	r     *Request
	runID uint64
}

var quarantineOutcomes = map[RunStatus]quarantine.Outcome{
	Finished: quarantine.Completed, Failed: quarantine.Aborted, TimedOut: quarantine.TimedOut, Rejected: quarantine.Aborted, Unsent: quarantine.Aborted, ConnectionRefused: quarantine.ConnectionRefused,
	Cancelled: quarantine.Abandoned, Crashed: quarantine.ConnectionLost,
}

// RecordBody implements Run.
func (s *suspectRun) RecordBody(body []byte) {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.q.core.RecordBody(s.addr, s.runID, body)
}

// End implements Run. After a lost connection it checks whether the server is still
// listening, to distinguish a crash from a single closed connection.
func (s *suspectRun) End(status RunStatus) bool {
	listening := true
	if status == Crashed {
		s.recordConnectionLoss()
		listening = stillListening(s.addr)
	}
	if s.r.Isolated && status.mayGoOn() {
		time.AfterFunc(abandonedCheckDelay, func() { s.q.checkAbandoned(s.addr) })
	}
	return s.recordEnd(quarantineOutcomes[status], listening)
}

// checkAbandoned reports a crash if a server on which runs were abandoned refuses connections.
func (q *Quarantine) checkAbandoned(addr string) {
	if acceptsConnections(addr) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.core.RecordRefusal(time.Now(), addr) {
		q.publish()
	}
	q.reportEvents()
}

func (s *suspectRun) recordEnd(outcome quarantine.Outcome, listening bool) (crashed bool) {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	crashed, changed := s.q.core.End(time.Now(), s.addr, s.runID, outcome, listening)
	if changed {
		s.q.publish()
	}
	s.q.reportEvents()
	return crashed
}

func (s *suspectRun) recordConnectionLoss() {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.q.core.RecordConnectionLoss(time.Now(), s.addr, s.runID)
}

// publish publishes the reports of this daemon, followed by the retained ones.
func (q *Quarantine) publish() {
	reports := presenceSuspects(q.core.Reports())
	for _, s := range q.retained {
		isOwn := func(own presence.Suspect) bool { return own.Fingerprint == s.Fingerprint }
		if !slices.ContainsFunc(reports, isOwn) {
			reports = append(reports, s)
		}
	}
	q.cfg.Publish(reports)
}

// Run retains what the fleet knows until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	if q.cfg.Retain == nil {
		return
	}
	ticker := time.NewTicker(retainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if proven, changed := q.updateRetained(); changed {
				q.cfg.Retain(proven)
			}
		}
	}
}

// updateRetained returns the proven suspects of the fleet and whether they have changed. If so, it
// publishes them.
func (q *Quarantine) updateRetained() (proven []presence.Suspect, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateReports()
	proven = presenceSuspects(q.core.Proven(time.Now()))
	if slices.Equal(proven, q.retained) {
		return nil, false
	}
	q.retained = proven
	q.publish()
	return proven, true
}

func presenceSuspects(reports []quarantine.Suspect) []presence.Suspect {
	var out []presence.Suspect
	for _, s := range reports {
		out = append(out, presence.Suspect{
			Fingerprint: uint64(s.Fingerprint), Content: uint64(s.Content), Crashes: s.Crashes,
			Until: s.Until.UnixMilli(), Told: s.ObservedElsewhere,
		})
	}
	return out
}

// stillListening reports whether addr does not refuse connections. A server that is
// merely unresponsive has not crashed.
func stillListening(addr string) bool {
	if !acceptsConnections(addr) {
		return false
	}
	time.Sleep(probeDelay)
	return acceptsConnections(addr)
}

func acceptsConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true
}

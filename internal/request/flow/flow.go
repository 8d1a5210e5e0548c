// Package flow is the state machine of one request at the first daemon: it selects
// the backend server, decides whether a failed attempt is retried, and determines
// the single final answer to the caller.
//
// Events are method calls with the time and a random seed; the result of each is an
// Action for the caller of the package to perform. The package does no I/O and
// reads no clock.
package flow

import (
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/retry"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// maxRedirects is the maximum number of attempts repeated because no server has
	// received the request: a server had no room, is draining or cannot be reached.
	// Redirects count neither against the route's retries nor against the budget,
	// because they put no load on the servers. In a large fleet, a daemon's data on a
	// server is seconds old, and many requests would be refused without redirects.
	maxRedirects = 4
	// defaultRetryAfter is used if no refusing server named a time.
	defaultRetryAfter = time.Second
	// maxRetryAfter bounds the time that a refusing server may name.
	maxRetryAfter = 30 * time.Second
)

// Service is the state shared by the calls of one daemon to one service. It and its
// calls are not safe for concurrent use.
type Service struct {
	Table  *balance.Table
	budget retry.Budget
}

// NewService returns a Service without servers.
func NewService(self balance.Location, local balance.Local) *Service {
	return &Service{Table: balance.NewTable(self, local)}
}

// Budget returns the retry budget.
func (s *Service) Budget() *retry.Budget { return &s.budget }

// SetRetryLimits sets the limits of the retry budget.
func (s *Service) SetRetryLimits(l retry.Limits) { s.budget.SetLimits(l) }

// Kind is the kind of an Action.
type Kind uint8

const (
	// Nothing requires no action.
	Nothing Kind = iota
	// Try sends the request to Candidate.
	Try
	// Relay forwards the answer of Candidate to the caller.
	Relay
	// Answer sends Code and RetryAfter to the caller as the final answer.
	Answer
	// Cancel ends the attempt in progress; the caller is gone.
	Cancel
)

// Action is what the caller of the package must do next.
type Action struct {
	Kind      Kind
	Candidate *directory.Candidate
	// Repeat is set with Try if an earlier attempt reached a server.
	Repeat bool
	// Code and RetryAfter are set with Answer; RetryAfter is 0 if unknown.
	Code       result.Code
	RetryAfter time.Duration
	// Cancel is set with Answer if an attempt is still in progress and must be
	// ended.
	Cancel bool
}

// Request holds the properties of a request that determine how it is processed.
type Request struct {
	// Deadline is the latest time for the final answer.
	Deadline time.Time
	// Repeatable requests may run more than once.
	Repeatable bool
	// Retries is the maximum number of retries after the first failed attempt.
	Retries int
	// Target is the time within which an answer has its full value; 0 if unknown.
	Target time.Duration
	// Kind groups requests that take similar times; "" means no group.
	Kind string
	// Bytes is the length of the body if it is large, else 0.
	Bytes int64
	// Answer is the expected length of the answer if it is large, else 0.
	Answer int64
	// RepeatProbability is the probability that the request was made by a run that was itself
	// a repeat.
	RepeatProbability float64
	// Pin, if not 0, determines the server: all requests with the same Pin go to the same one. Another
	// one is tried only if that cannot be reached, not if it has no room.
	Pin uint64
	// Arm restricts the first attempt during a roll-out, and RetryArm the others. If Arm has no
	// usable server, RetryArm applies to the first attempt too.
	Arm, RetryArm balance.Arm
	// FallbackArm replaces RetryArm once a server refused because its software version accepts
	// no new work: a later stage of the roll-out is then in force there than here.
	FallbackArm balance.Arm
	// Cross, if not nil, draws the failure domain of an attempt with a random number in [0, 1); 1
	// keeps it in the own one. refused is set if an earlier attempt was refused.
	Cross func(random float64, refused bool) balance.Crossing
	// Crossed, if not nil, is called once for each draw of Cross: made states whether an attempt was
	// made in the drawn domain.
	Crossed func(drawn balance.Crossing, made bool)
}

type phase uint8

const (
	// An attempting call has exactly one attempt in progress, at current.
	attempting phase = iota + 1
	// A relaying call has received the answer of current.
	relaying
	// A finished call got its final answer, or its caller disconnected.
	finished
)

// Call is the state of one request.
type Call struct {
	service *Service
	request Request
	phase   phase
	current *directory.Candidate
	// tried holds the servers of all attempts; current is the last one. failed holds those
	// that failed or could not be reached, and drained those of them that were draining.
	tried     []*directory.Candidate
	failed    []*directory.Candidate
	drained   []*directory.Candidate
	retries   int
	redirects int
	// reachedServer is set once an attempt reached a server. Every later attempt is
	// charged to the budget.
	reachedServer bool
	// bodyBegun is set once a part of the body was sent that cannot be sent again.
	bodyBegun bool
	// unknownOutcome is the code of an attempt that may have run; 0 if there is none.
	// Once it is set, no response states that the request was not run.
	unknownOutcome result.Code
	// retryAfter is the shortest time that a refusing server named.
	retryAfter time.Duration
	// drawn is the failure domain of the next attempt while isDrawn is set.
	drawn   balance.Crossing
	isDrawn bool
	// triedBuffer keeps tried off the heap for the usual number of attempts.
	triedBuffer [1]*directory.Candidate
}

// Begin starts a call and returns its first action.
func (s *Service) Begin(now time.Time, seed uint64, r Request) (*Call, Action) {
	c := &Call{service: s, request: r}
	c.tried = c.triedBuffer[:0]
	s.budget.Request(now)
	if r.RepeatProbability > 0 {
		s.budget.Charge(now, r.RepeatProbability)
	}
	return c, c.try(now, seed, result.NoBackendServer)
}

// try starts an attempt at the next server. If there is none, the call ends with last.
func (c *Call) try(now time.Time, seed uint64, last result.Code) Action {
	if !now.Before(c.request.Deadline) {
		return c.finish(result.DeadlineTooShort)
	}
	picked := c.pick(now, seed)
	c.endDraw(picked != nil && c.service.Table.Selected(&c.drawn, picked))
	if picked == nil {
		return c.finish(last)
	}
	c.phase, c.current = attempting, picked
	c.tried = append(c.tried, picked)
	c.service.Table.Sent(now, picked, c.request.Bytes, c.request.Answer)
	return Action{Kind: Try, Candidate: picked, Repeat: c.reachedServer}
}

// pick returns the server of the next attempt, or nil if every one was tried.
func (c *Call) pick(now time.Time, seed uint64) *directory.Candidate {
	in := balance.Input{
		Now: now, Seed: seed, Tried: c.tried, Failed: c.failed, Drained: c.drained, Pin: c.request.Pin, Target: c.request.Target,
		Kind: c.request.Kind, Bytes: c.request.Bytes, Answer: c.request.Answer, Arm: c.request.RetryArm, Crossing: c.drawDomain(seed),
	}
	if len(c.tried) == 0 && c.request.Arm.Bound {
		in.Arm = c.request.Arm
		if picked := c.service.Table.Pick(in); picked != nil {
			return picked
		}
		in.Arm = c.request.RetryArm
	}
	return c.service.Table.Pick(in)
}

// drawDomain draws the failure domain of the next attempt, unless it is drawn already. A request that
// was refused in another domain returns to its own. A pinned request has no choice.
func (c *Call) drawDomain(seed uint64) balance.Crossing {
	if c.request.Cross == nil || c.request.Pin != 0 {
		return balance.Crossing{}
	}
	if c.isDrawn {
		return c.drawn
	}
	// The pick uses the seed as well, so it is mixed here (Knuth's multiplicative hash).
	random := float64(seed*0x9e3779b97f4a7c15>>11) / (1 << 53)
	if c.service.Table.Crossed(c.tried) {
		random = 1
	}
	c.drawn, c.isDrawn = c.request.Cross(random, len(c.tried) > 0), true
	return c.drawn
}

// endDraw reports whether an attempt was made in the drawn failure domain.
func (c *Call) endDraw(made bool) {
	if c.isDrawn && c.request.Crossed != nil {
		c.request.Crossed(c.drawn, made)
	}
	c.drawn, c.isDrawn = balance.Crossing{}, false
}

func (c *Call) finish(code result.Code) Action {
	c.phase = finished
	c.endDraw(false)
	if c.unknownOutcome != 0 && code.Outcome() == result.NotRun {
		code = c.unknownOutcome
	}
	a := Action{Kind: Answer, Code: code}
	if code.Outcome() == result.NotRun {
		a.RetryAfter = defaultRetryAfter
		if c.retryAfter > 0 {
			a.RetryAfter = min(c.retryAfter, maxRetryAfter)
		}
	}
	return a
}

// Isolate selects the servers of all further attempts by pin.
func (c *Call) Isolate(pin uint64) { c.request.Pin = pin }

// BodyBegun records that a part of the body was sent which cannot be sent again.
func (c *Call) BodyBegun() { c.bodyBegun = true }

// Answered records that the header of an answer arrived.
func (c *Call) Answered() Action {
	if c.phase != attempting {
		return Action{}
	}
	c.phase = relaying
	return Action{Kind: Relay, Candidate: c.current}
}

// Relayed records that the answer was forwarded, either whole or truncated.
func (c *Call) Relayed(now time.Time, whole bool) {
	if c.phase != relaying {
		return
	}
	c.phase = finished
	end := balance.Failed
	if whole {
		end = balance.Answered
	}
	c.service.Table.Ended(now, c.current, end)
}

// Refused records that the attempt ended without an answer of the server. retryAfter
// is the time that the refusing side named, or 0.
func (c *Call) Refused(now time.Time, seed uint64, code result.Code, retryAfter time.Duration) Action {
	if c.phase != attempting {
		return Action{}
	}
	outcome := outcomeFor(code)
	c.service.Table.Ended(now, c.current, outcome)
	if outcome != balance.Full {
		c.failed = append(c.failed, c.current)
	}
	if code == result.Draining {
		c.drained = append(c.drained, c.current)
	}
	if retryAfter > 0 && (c.retryAfter == 0 || retryAfter < c.retryAfter) {
		c.retryAfter = retryAfter
	}
	if code.Outcome() != result.NotRun {
		c.unknownOutcome = code
	}
	if code == result.VersionRetired && c.request.FallbackArm.Bound && c.current.Server.Version == c.request.RetryArm.Version {
		c.request.RetryArm = c.request.FallbackArm
	}
	if !c.canRetry(now, code) {
		return c.finish(code)
	}
	return c.try(now, seed, code)
}

func outcomeFor(code result.Code) balance.Outcome {
	switch code {
	case result.Overloaded, result.DeadlineTooShort, result.ServerRefused:
		return balance.Full
	case result.Draining, result.BackendRefused, result.DaemonRefused, result.NotReady, result.WrongServer:
		return balance.Unreachable
	case result.AnswerLost, result.DeadlineExceeded, result.BackendCrashed:
		return balance.Failed
	}
	return balance.Neutral
}

// canRetry reports whether a further attempt is allowed: the last one must certainly
// not have run, or the request must be repeatable. A body of which a part was sent is
// never sent a second time.
func (c *Call) canRetry(now time.Time, code result.Code) bool {
	if c.bodyBegun || !now.Before(c.request.Deadline) {
		return false
	}
	c.reachedServer = c.reachedServer || impliesServerReached(code)
	switch {
	case code == result.VersionRetired:
		c.redirects++
		return c.redirects <= maxRedirects && c.takeRetry(now)
	case code == result.RepeatDenied:
		// The budget was already charged for this repeat, and it has reached no server yet.
		c.redirects++
		return c.redirects <= maxRedirects
	case outcomeFor(code) == balance.Neutral, c.request.Pin != 0 && outcomeFor(code) == balance.Full:
		return false
	case code.Outcome() != result.NotRun && !c.request.Repeatable:
		return false
	case outcomeFor(code) == balance.Unreachable, !c.reachedServer:
		// No server has received the request yet. Another one may have room: in a large
		// fleet, the data on the other servers is out of date.
		c.redirects++
		return c.redirects <= maxRedirects && c.takeRetry(now)
	case c.retries >= c.request.Retries:
		return false
	}
	c.retries++
	return c.takeRetry(now)
}

// impliesServerReached reports whether an attempt that ended with code reached a server.
func impliesServerReached(code result.Code) bool {
	return code.Outcome() != result.NotRun || code == result.ServerRefused || code == result.WrongServer
}

// takeRetry takes one further attempt from the budget. It is free while no attempt has
// reached a server, because the next one is then the first that a server sees.
func (c *Call) takeRetry(now time.Time) bool { return !c.reachedServer || c.service.budget.Take(now) }

// Expired records that the deadline has passed.
func (c *Call) Expired(now time.Time) Action {
	if c.phase != attempting {
		return Action{}
	}
	c.service.Table.Ended(now, c.current, balance.Failed)
	a := c.finish(result.DeadlineExceeded)
	a.Cancel = true
	return a
}

// CallerLeft records that the caller disconnected.
func (c *Call) CallerLeft(now time.Time) Action {
	if c.phase == finished {
		return Action{}
	}
	c.service.Table.Ended(now, c.current, balance.Neutral)
	c.phase = finished
	c.endDraw(false)
	return Action{Kind: Cancel, Code: result.CallerLeft}
}

package source

import (
	"context"
	"time"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// The bounds of an order for a roll-out.
const (
	// MinWithin and MaxWithin bound the time in which a roll-out is to be decided.
	MinWithin = time.Second
	MaxWithin = 6 * time.Hour
	// maxVersionName is the longest name of a software version, in bytes.
	maxVersionName = 128
	// resendWithin is how long after the time limit of a roll-out the same order is taken
	// for a resend of it, and not for another try.
	resendWithin = 10 * time.Second
)

// ServiceName names a service of a mesh.
type ServiceName struct {
	Mesh    string `cbor:"1,keyasint" json:"mesh"`
	Service string `cbor:"2,keyasint" json:"service"`
}

// RolloutOrder asks that another software version takes over a service.
type RolloutOrder struct {
	ServiceName
	// Target is the software version that is to serve.
	Target string
	// Within is the time in which that is to be decided, MinWithin to MaxWithin.
	Within time.Duration
	// Abort rolls back the roll-out that runs instead; Target and Within are not read.
	Abort bool
}

// check returns what is wrong with an order on its own, or nil.
func (o *RolloutOrder) check() *result.Error {
	switch {
	case o.Service == "":
		return result.Errorf(result.RolloutInvalid, "service: is required")
	case o.Abort:
		return nil
	case o.Target == "" || len(o.Target) > maxVersionName:
		return result.Errorf(result.RolloutInvalid, "target version: want 1 to %d bytes, got %d", maxVersionName, len(o.Target))
	case o.Within < MinWithin || o.Within > MaxWithin:
		return result.Errorf(result.RolloutInvalid, "duration: want %s to %s, got %s", MinWithin, MaxWithin, o.Within)
	}
	return nil
}

// RolloutStep is what the leader decides of a roll-out.
type RolloutStep struct {
	ServiceName
	// Number is that of the roll-out; 0 admits the first version of a service.
	Number uint64
	// Version is set with Number 0.
	Version string
	Stage   fleet.Stage
	Servers int
	Why     string
}

// The acts of an entry of formatRollout.
const (
	actOrder = iota + 1
	actAbort
	actStep
	actRead
)

// rolloutEntry is the part of a log entry that is about a roll-out. Its fields are those of
// RolloutOrder and RolloutStep.
type rolloutEntry struct {
	Act     uint8         `cbor:"1,keyasint"`
	Name    ServiceName   `cbor:"2,keyasint"`
	Target  string        `cbor:"3,keyasint,omitempty"`
	Within  time.Duration `cbor:"4,keyasint,omitempty"`
	Number  uint64        `cbor:"5,keyasint,omitempty"`
	Version string        `cbor:"6,keyasint,omitempty"`
	Stage   fleet.Stage   `cbor:"7,keyasint,omitempty"`
	Servers int           `cbor:"8,keyasint,omitempty"`
	Why     string        `cbor:"9,keyasint,omitempty"`
}

// OrderRollout proposes a roll-out, or its end, and waits for the commit until ctx ends.
func (s *Source) OrderRollout(ctx context.Context, o *RolloutOrder) (Answer, error) {
	if refused := o.check(); refused != nil {
		return Answer{Code: refused.Code, Detail: refused.Detail}, nil
	}
	entry := rolloutEntry{Act: actOrder, Name: o.ServiceName, Target: o.Target, Within: o.Within}
	if o.Abort {
		entry = rolloutEntry{Act: actAbort, Name: o.ServiceName}
	}
	return s.proposeRollout(ctx, entry)
}

// StepRollout proposes what the leader decided.
func (s *Source) StepRollout(ctx context.Context, step RolloutStep) (Answer, error) {
	return s.proposeRollout(ctx, rolloutEntry{
		Act: actStep, Name: step.ServiceName, Number: step.Number, Version: step.Version,
		Stage: step.Stage, Servers: step.Servers, Why: step.Why,
	})
}

// ReadRollout returns the newest roll-out of a service. It goes through the log, as Read
// does, so that no answer is older than one before it.
func (s *Source) ReadRollout(ctx context.Context, name ServiceName) (Answer, error) {
	return s.proposeRollout(ctx, rolloutEntry{Act: actRead, Name: name})
}

func (s *Source) proposeRollout(ctx context.Context, entry rolloutEntry) (Answer, error) {
	return s.propose(ctx, Command{Format: formatRollout, Submitted: time.Now().UTC(), Rollout: &entry})
}

// State returns the newest state that is applied here; any goroutine may ask.
func (s *Source) State() *fleet.State { return s.machine.basis.Load().state }

// applyRollout decides one entry about a roll-out. Refusals change nothing.
func (m *machine) applyRollout(e *rolloutEntry, submitted time.Time) Answer {
	now := m.state.Rollout(e.Name.Mesh, e.Name.Service)
	var next *fleet.Rollout
	var refused Answer
	switch e.Act {
	case actRead:
		return m.readRollout(e.Name, now)
	case actOrder:
		next, refused = m.beginRollout(e, now, submitted)
	case actAbort:
		next, refused = abortRollout(now, submitted)
	case actStep:
		next, refused = m.stepRollout(e, now, submitted)
	default:
		return Answer{Code: result.RolloutInvalid, Detail: "unknown act"}
	}
	if next == nil {
		return refused
	}
	state, err := m.state.SetRollout(e.Name.Mesh, e.Name.Service, next)
	if err != nil {
		return Answer{Code: result.RolloutInvalid, Detail: err.Error()}
	}
	m.state, m.changed = state, true
	m.basis.Store(&basis{state: m.state, texts: m.texts})
	m.log.Info("roll-out", "mesh", e.Name.Mesh, "service", e.Name.Service, "number", next.Number, "version", next.Version,
		"target", next.Target, "stage", next.Stage.String(), "servers", next.Servers, "within", next.Within.String(), "why", next.Why, "fleet", state.Version)
	return Answer{Code: result.Accepted, Fleet: state.Version, Rollout: next}
}

func (m *machine) readRollout(name ServiceName, now *fleet.Rollout) Answer {
	if now == nil || now.Number == 0 {
		return Answer{Code: result.UnknownResource, Fleet: m.state.Version, Detail: "service " + name.Service + " had no roll-out"}
	}
	return Answer{Code: result.Answered, Fleet: m.state.Version, Rollout: now}
}

// beginRollout starts a roll-out, or answers an order that was taken before.
func (m *machine) beginRollout(e *rolloutEntry, now *fleet.Rollout, submitted time.Time) (*fleet.Rollout, Answer) {
	if !m.state.HasService(e.Name.Mesh, e.Name.Service) {
		return nil, Answer{Code: result.RolloutInvalid, Detail: "service: mesh " + e.Name.Mesh + " has no service " + e.Name.Service}
	}
	if now == nil {
		return nil, Answer{Code: result.RolloutUnsettled, Detail: "no server of " + e.Name.Service + " is known, or servers.rollouts is not set"}
	}
	if sameOrder(e, now, submitted) {
		return nil, Answer{Code: result.AlreadyAccepted, Fleet: m.state.Version, Rollout: now}
	}
	if now.Stage.Running() {
		return nil, Answer{Code: result.RolloutRunning, Rollout: now, Detail: "the roll-out to version " + now.Target + " is not decided yet"}
	}
	if e.Target == now.Serving() {
		return nil, Answer{Code: result.RolloutInvalid, Rollout: now, Detail: "target version: " + e.Target + " serves already"}
	}
	return now.Next(e.Target, e.Within, submitted), Answer{}
}

// sameOrder tells a resend from another try: what was completed needs no other try, and
// what was rolled back may be tried again after its time.
func sameOrder(e *rolloutEntry, now *fleet.Rollout, submitted time.Time) bool {
	if now.Number == 0 || e.Target != now.Target || e.Within != now.Within {
		return false
	}
	return now.Stage != fleet.RolledBack || submitted.Sub(now.Ordered) < now.Within+resendWithin
}

// abortRollout rolls back what runs. What was rolled back already is acknowledged.
func abortRollout(now *fleet.Rollout, submitted time.Time) (*fleet.Rollout, Answer) {
	if now == nil || !now.Stage.Running() {
		if now != nil && now.Stage == fleet.RolledBack {
			return nil, Answer{Code: result.AlreadyAccepted, Rollout: now}
		}
		return nil, Answer{Code: result.RolloutInvalid, Rollout: now, Detail: "no roll-out runs that could be aborted"}
	}
	next, err := now.Advance(fleet.RolledBack, 0, "aborted by an operator", submitted)
	if err != nil {
		return nil, Answer{Code: result.RolloutInvalid, Rollout: now, Detail: err.Error()}
	}
	return next, Answer{}
}

// stepRollout takes a decision of the leader in. One about another roll-out than the newest,
// or that does not follow, came too late.
func (m *machine) stepRollout(e *rolloutEntry, now *fleet.Rollout, submitted time.Time) (*fleet.Rollout, Answer) {
	late := Answer{Code: result.RolloutRunning, Rollout: now, Detail: "the roll-out is in another stage by now"}
	if e.Number == 0 {
		if now != nil {
			return nil, late
		}
		return &fleet.Rollout{Version: e.Version, Ordered: submitted, Why: e.Why}, Answer{}
	}
	if now == nil || now.Number != e.Number {
		return nil, late
	}
	next, err := now.Advance(e.Stage, e.Servers, e.Why, submitted)
	if err != nil {
		return nil, late
	}
	return next, Answer{}
}

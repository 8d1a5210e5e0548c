package source

import (
	"context"
	"time"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// Limits of a roll-out order.
const (
	// MinRolloutDuration and MaxRolloutDuration bound the time limit of a roll-out.
	MinRolloutDuration = time.Second
	MaxRolloutDuration = 6 * time.Hour
	// maxVersionName is the maximum length of the name of a software version, in bytes.
	maxVersionName = 128
	// resendWindow is how long after the time limit of a rolled-back roll-out an identical
	// order is still treated as a resend and not as a new attempt.
	resendWindow = 10 * time.Second
)

// ServiceName identifies a service of a mesh.
type ServiceName struct {
	Mesh    string `cbor:"1,keyasint" json:"mesh"`
	Service string `cbor:"2,keyasint" json:"service"`
}

// RolloutOrder requests the roll-out of another software version of a service.
type RolloutOrder struct {
	ServiceName
	// Target is the software version to roll out.
	Target string
	// Within is the time limit for completing the roll-out or rolling it back, from
	// MinRolloutDuration to MaxRolloutDuration.
	Within time.Duration
	// Abort requests that the running roll-out is rolled back; Target and Within are
	// ignored.
	Abort bool
}

// validate checks the fields of the order. It returns nil if they are valid.
func (o *RolloutOrder) validate() *result.Error {
	switch {
	case o.Service == "":
		return result.Errorf(result.RolloutInvalid, "service: is required")
	case o.Abort:
		return nil
	case o.Target == "" || len(o.Target) > maxVersionName:
		return result.Errorf(result.RolloutInvalid, "target version: want 1 to %d bytes, got %d", maxVersionName, len(o.Target))
	case o.Within < MinRolloutDuration || o.Within > MaxRolloutDuration:
		return result.Errorf(result.RolloutInvalid, "duration: want %s to %s, got %s", MinRolloutDuration, MaxRolloutDuration, o.Within)
	}
	return nil
}

// RolloutStep is a state transition of a roll-out decided by the leader.
type RolloutStep struct {
	ServiceName
	// Number is the number of the roll-out; 0 sets the initial version of a service.
	Number uint64
	// Version is the initial version; set only if Number is 0.
	Version string
	Stage   fleet.Stage
	Servers int
	Why     string
}

// Actions of a formatRollout entry.
const (
	actionOrder = iota + 1
	actionAbort
	actionStep
	actionRead
)

// rolloutEntry is the payload of a formatRollout entry. Its fields correspond to those of
// RolloutOrder and RolloutStep.
type rolloutEntry struct {
	Action  uint8         `cbor:"1,keyasint"`
	Name    ServiceName   `cbor:"2,keyasint"`
	Target  string        `cbor:"3,keyasint,omitempty"`
	Within  time.Duration `cbor:"4,keyasint,omitempty"`
	Number  uint64        `cbor:"5,keyasint,omitempty"`
	Version string        `cbor:"6,keyasint,omitempty"`
	Stage   fleet.Stage   `cbor:"7,keyasint,omitempty"`
	Servers int           `cbor:"8,keyasint,omitempty"`
	Why     string        `cbor:"9,keyasint,omitempty"`
}

// OrderRollout proposes to start or abort a roll-out, and waits for the commit until ctx is
// done.
func (s *Source) OrderRollout(ctx context.Context, o *RolloutOrder) (Answer, error) {
	if refused := o.validate(); refused != nil {
		return Answer{Code: refused.Code, Detail: refused.Detail}, nil
	}
	entry := rolloutEntry{Action: actionOrder, Name: o.ServiceName, Target: o.Target, Within: o.Within}
	if o.Abort {
		entry = rolloutEntry{Action: actionAbort, Name: o.ServiceName}
	}
	return s.proposeRollout(ctx, entry)
}

// AdvanceRollout proposes a state transition decided by the leader.
func (s *Source) AdvanceRollout(ctx context.Context, step RolloutStep) (Answer, error) {
	return s.proposeRollout(ctx, rolloutEntry{
		Action: actionStep, Name: step.ServiceName, Number: step.Number, Version: step.Version,
		Stage: step.Stage, Servers: step.Servers, Why: step.Why,
	})
}

// ReadRollout returns the newest roll-out of a service. Like Read, it is committed through
// the log, so that successive reads never go back in time.
func (s *Source) ReadRollout(ctx context.Context, name ServiceName) (Answer, error) {
	return s.proposeRollout(ctx, rolloutEntry{Action: actionRead, Name: name})
}

func (s *Source) proposeRollout(ctx context.Context, entry rolloutEntry) (Answer, error) {
	return s.propose(ctx, Command{Format: formatRollout, Submitted: time.Now().UTC(), Rollout: &entry})
}

// State returns the newest state applied by this source. It is safe for concurrent use.
func (s *Source) State() *fleet.State { return s.machine.diffBase.Load().state }

// applyRollout applies one rolloutEntry, or rejects it without changing the state.
func (m *stateMachine) applyRollout(e *rolloutEntry, submitted time.Time) Answer {
	current := m.state.Rollout(e.Name.Mesh, e.Name.Service)
	var next *fleet.Rollout
	var refused Answer
	switch e.Action {
	case actionRead:
		return m.readRollout(e.Name, current)
	case actionOrder:
		next, refused = m.startRollout(e, current, submitted)
	case actionAbort:
		next, refused = abortRollout(current, submitted)
	case actionStep:
		next, refused = m.advanceRollout(e, current, submitted)
	default:
		return Answer{Code: result.RolloutInvalid, Detail: "unknown roll-out action"}
	}
	if next == nil {
		return refused
	}
	state, err := m.state.SetRollout(e.Name.Mesh, e.Name.Service, next)
	if err != nil {
		return Answer{Code: result.RolloutInvalid, Detail: err.Error()}
	}
	m.state, m.unpublished = state, true
	m.diffBase.Store(&diffBase{state: m.state, texts: m.texts})
	m.log.Info("roll-out state changed", "mesh", e.Name.Mesh, "service", e.Name.Service, "number", next.Number, "version", next.Version,
		"target", next.Target, "stage", next.Stage.String(), "servers", next.Servers, "within", next.Within.String(), "why", next.Why, "fleet", state.Version)
	return Answer{Code: result.Accepted, Fleet: state.Version, Rollout: next}
}

func (m *stateMachine) readRollout(name ServiceName, current *fleet.Rollout) Answer {
	if current == nil || current.Number == 0 {
		return Answer{Code: result.UnknownResource, Fleet: m.state.Version, Detail: "service " + name.Service + " has had no roll-out"}
	}
	return Answer{Code: result.Answered, Fleet: m.state.Version, Rollout: current}
}

// startRollout starts a roll-out, or acknowledges an order that was accepted before.
func (m *stateMachine) startRollout(e *rolloutEntry, current *fleet.Rollout, submitted time.Time) (*fleet.Rollout, Answer) {
	if !m.state.HasService(e.Name.Mesh, e.Name.Service) {
		return nil, Answer{Code: result.RolloutInvalid, Detail: "service: mesh " + e.Name.Mesh + " has no service " + e.Name.Service}
	}
	if current == nil {
		return nil, Answer{Code: result.RolloutUnsettled, Detail: "no backend server of service " + e.Name.Service + " is known, or the setting servers.rollouts is not enabled"}
	}
	if isResend(e, current, submitted) {
		return nil, Answer{Code: result.AlreadyAccepted, Fleet: m.state.Version, Rollout: current}
	}
	if current.Stage.Running() {
		return nil, Answer{Code: result.RolloutRunning, Rollout: current, Detail: "the roll-out to version " + current.Target + " is still running"}
	}
	if e.Target == current.Serving() {
		return nil, Answer{Code: result.RolloutInvalid, Rollout: current, Detail: "target version: " + e.Target + " is already serving"}
	}
	return current.Next(e.Target, e.Within, submitted), Answer{}
}

// isResend distinguishes a resend of the newest order from a new attempt. A completed
// roll-out needs no new attempt. A roll-out that was rolled back may be attempted again
// once its time limit and resendWindow have passed.
func isResend(e *rolloutEntry, current *fleet.Rollout, submitted time.Time) bool {
	if current.Number == 0 || e.Target != current.Target || e.Within != current.Within {
		return false
	}
	return current.Stage != fleet.RolledBack || submitted.Sub(current.Ordered) < current.Within+resendWindow
}

// abortRollout rolls back the running roll-out. If it was already rolled back, the order is
// acknowledged.
func abortRollout(current *fleet.Rollout, submitted time.Time) (*fleet.Rollout, Answer) {
	if current == nil || !current.Stage.Running() {
		if current != nil && current.Stage == fleet.RolledBack {
			return nil, Answer{Code: result.AlreadyAccepted, Rollout: current}
		}
		return nil, Answer{Code: result.RolloutInvalid, Rollout: current, Detail: "no running roll-out to abort"}
	}
	// The reason is part of the replicated state: all releases must write the same text.
	next, err := current.Advance(fleet.RolledBack, 0, "aborted by an operator", submitted)
	if err != nil {
		return nil, Answer{Code: result.RolloutInvalid, Rollout: current, Detail: err.Error()}
	}
	return next, Answer{}
}

// advanceRollout applies a state transition decided by the leader. It is stale, and
// rejected, if it is not for the newest roll-out or does not follow from its stage.
func (m *stateMachine) advanceRollout(e *rolloutEntry, current *fleet.Rollout, submitted time.Time) (*fleet.Rollout, Answer) {
	stale := Answer{Code: result.RolloutRunning, Rollout: current, Detail: "the roll-out has moved to another stage"}
	if e.Number == 0 {
		if current != nil {
			return nil, stale
		}
		return &fleet.Rollout{Version: e.Version, Ordered: submitted, Why: e.Why}, Answer{}
	}
	if current == nil || current.Number != e.Number {
		return nil, stale
	}
	next, err := current.Advance(e.Stage, e.Servers, e.Why, submitted)
	if err != nil {
		return nil, stale
	}
	return next, Answer{}
}

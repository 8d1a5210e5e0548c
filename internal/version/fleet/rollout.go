package fleet

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// KindRollout is the resource of a service whose software versions are known: which
// version serves, and the newest roll-out of another. It is no part of a manifest and
// outlives each of them.
const KindRollout Kind = "rollout"

// ofManifest reports whether resources of the kind are the services and routes of a
// manifest.
func (k Kind) ofManifest() bool { return k == KindService || k == KindRoute }

// Stage is how far a roll-out has come. The numbers are those of the log and stay.
type Stage uint8

// The stages. A roll-out goes from Canary to Proof to Handover to Completed, or from
// each of the first three to RolledBack.
const (
	// Admitted: the serving version is known, and there was no roll-out yet.
	Admitted Stage = iota
	// Canary: a few servers of the target version get a part of the requests.
	Canary
	// Proof: all servers of the target version get all that the exposure budget of each
	// daemon still allows.
	Proof
	// Handover: the target version gets every request, and the version before it finishes
	// what it runs.
	Handover
	// Completed: the target version serves. It is final.
	Completed
	// RolledBack: the version before it serves. It is final.
	RolledBack
)

var stageNames = [...]string{"admitted", "canary", "proof", "handover", "completed", "rolled_back"}

// String returns the name shown to operators.
func (s Stage) String() string {
	if int(s) < len(stageNames) {
		return stageNames[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Stage) UnmarshalText(text []byte) error {
	i := slices.Index(stageNames[:], string(text))
	if i < 0 {
		return errors.Newf("unknown stage %q", text)
	}
	*s = Stage(i)
	return nil
}

// Running reports whether a roll-out in this stage is not decided yet.
func (s Stage) Running() bool { return s == Canary || s == Proof || s == Handover }

// Final reports whether a roll-out in this stage is decided.
func (s Stage) Final() bool { return s == Completed || s == RolledBack }

// leadsTo reports whether a roll-out may go from one stage to another.
func (s Stage) leadsTo(next Stage) bool {
	switch next {
	case Canary:
		return s == Canary
	case Proof:
		return s == Canary
	case Handover:
		return s == Proof
	case Completed:
		return s == Handover
	case RolledBack:
		return s.Running()
	}
	return false
}

// Rollout is the resource of KindRollout.
type Rollout struct {
	// Number counts the roll-outs of the service; 0 while there was none.
	Number uint64 `cbor:"1,keyasint" json:"number"`
	// Version is the software version that serves until Completed, and Target the one
	// that takes its place.
	Version string `cbor:"2,keyasint" json:"version"`
	Target  string `cbor:"3,keyasint,omitempty" json:"target,omitempty"`
	Stage   Stage  `cbor:"4,keyasint,omitempty" json:"stage"`
	// Servers is how many servers of the target version get requests in Canary.
	Servers int `cbor:"5,keyasint,omitempty" json:"servers,omitempty"`
	// Within is the time in which the roll-out is to be decided.
	Within time.Duration `cbor:"6,keyasint,omitempty" json:"within_ns,omitempty"`
	// Ordered and Ended are when it was ordered and decided, by the clocks of the sources
	// that took that in.
	Ordered time.Time `cbor:"7,keyasint" json:"ordered"`
	Ended   time.Time `cbor:"8,keyasint" json:"ended"`
	// Why tells what the newest stage was entered for.
	Why string `cbor:"9,keyasint,omitempty" json:"why,omitempty"`
	// Past are the roll-outs before it, oldest first, MaxPast at the most.
	Past []RolloutLine `cbor:"10,keyasint,omitempty" json:"past,omitempty"`
}

// MaxPast bounds the roll-outs of a service that are remembered besides the newest.
const MaxPast = 8

// RolloutLine is one roll-out in a history.
type RolloutLine struct {
	Number  uint64    `cbor:"1,keyasint" json:"number"`
	Version string    `cbor:"2,keyasint" json:"version"`
	Target  string    `cbor:"3,keyasint" json:"target"`
	Stage   Stage     `cbor:"4,keyasint" json:"stage"`
	Ordered time.Time `cbor:"5,keyasint" json:"ordered"`
	Ended   time.Time `cbor:"6,keyasint" json:"ended"`
	Why     string    `cbor:"7,keyasint,omitempty" json:"why,omitempty"`
}

// Line is the roll-out as a line of the history.
func (r *Rollout) Line() RolloutLine {
	return RolloutLine{Number: r.Number, Version: r.Version, Target: r.Target, Stage: r.Stage, Ordered: r.Ordered, Ended: r.Ended, Why: r.Why}
}

// Next returns the roll-out to another version that is ordered after this one was decided.
func (r *Rollout) Next(target string, within time.Duration, ordered time.Time) *Rollout {
	next := &Rollout{
		Number: r.Number + 1, Version: r.Serving(), Target: target, Stage: Canary,
		Within: within, Ordered: ordered, Why: "ordered",
	}
	if r.Number > 0 {
		past := r.Past[max(len(r.Past)-MaxPast+1, 0):]
		next.Past = append(slices.Clone(past), r.Line())
	}
	return next
}

// Admits reports whether servers of a software version may be chosen. In Handover the version
// before still may, for a daemon that has the stage no longer in force than others the one
// that follows has to find its servers.
func (r *Rollout) Admits(version string) bool {
	switch r.Stage {
	case Canary, Proof, Handover:
		return version == r.Version || version == r.Target
	case Completed:
		return version == r.Target
	}
	return version == r.Version
}

// Takes reports whether servers of a software version take new requests: those that Admits
// allows, but for the version before in Handover. The daemon beside a server keeps to it,
// whatever stage the one has in force that sends a request.
func (r *Rollout) Takes(version string) bool {
	return r.Admits(version) && (r.Stage != Handover || version == r.Target)
}

// Serving is the software version that serves when no roll-out runs.
func (r *Rollout) Serving() string {
	if r.Stage == Completed {
		return r.Target
	}
	return r.Version
}

// ErrStage is returned by Advance for a stage that does not follow.
var ErrStage = errors.New("the stage does not follow")

// Advance returns the roll-out in its next stage.
func (r *Rollout) Advance(next Stage, servers int, why string, at time.Time) (*Rollout, error) {
	if !r.Stage.leadsTo(next) {
		return nil, errors.Wrapf(ErrStage, "%s after %s", next, r.Stage)
	}
	after := *r
	after.Stage, after.Servers, after.Why = next, servers, why
	if next.Final() {
		after.Ended = at
	}
	return &after, nil
}

// Rollout returns the resource of a service, or nil where there is none.
func (s *State) Rollout(mesh, service string) *Rollout {
	raw, ok := s.resources.Get(Key{Mesh: mesh, Kind: KindRollout, Name: service})
	if !ok {
		return nil
	}
	r, err := DecodeRollout(raw)
	if err != nil {
		return nil
	}
	return r
}

// DecodeRollout reads a resource of KindRollout.
func DecodeRollout(raw []byte) (*Rollout, error) {
	var r Rollout
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return nil, errors.Wrap(err, "decode roll-out")
	}
	r.Ordered, r.Ended = r.Ordered.UTC(), r.Ended.UTC()
	return &r, nil
}

// HasService reports whether a mesh has a service.
func (s *State) HasService(mesh, service string) bool {
	_, known := s.resources.Get(Key{Mesh: mesh, Kind: KindService, Name: service})
	return known
}

// SetRollout returns the state with the resource of a service.
func (s *State) SetRollout(mesh, service string, r *Rollout) (*State, error) {
	raw, err := encMode.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode roll-out")
	}
	next := s.derive(s.Version + 1)
	next.set(Key{Mesh: mesh, Kind: KindRollout, Name: service}, raw)
	return next.finish(), nil
}

// HasRollouts reports whether the state holds any resource of KindRollout.
func (s *State) HasRollouts() bool {
	for _, mesh := range s.Meshes() {
		found := false
		s.EachOf(mesh, KindRollout, func(Key, []byte) { found = true })
		if found {
			return true
		}
	}
	return false
}

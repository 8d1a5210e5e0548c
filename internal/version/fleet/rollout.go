package fleet

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// KindRollout is the kind of a Rollout: for a service whose software versions are
// known, the version that serves and the newest rollout of another version. It is not
// part of a manifest and persists when manifests change.
const KindRollout Kind = "rollout"

// isFromManifest reports whether resources of the kind are entries of the lists of a
// manifest: services, routes and organisations.
func (k Kind) isFromManifest() bool {
	return k == KindService || k == KindRoute || k == KindOrganisation
}

// Stage is the stage of a rollout. The values are stored in the replicated log and
// must not change.
type Stage uint8

// The stages of a rollout. A rollout advances from Canary to Proof, Handover and
// Completed, or from any of the first three to RolledBack.
const (
	// Admitted means that the serving version is known and that there was no rollout
	// yet.
	Admitted Stage = iota
	// Canary means that a few servers of the target version receive a fraction of the
	// requests.
	Canary
	// Proof means that all servers of the target version receive as many requests as
	// the exposure budget of each daemon still allows.
	Proof
	// Handover means that the target version receives all new requests while servers
	// of the previous version finish the requests in progress.
	Handover
	// Completed means that the target version serves. This stage is final.
	Completed
	// RolledBack means that the previous version serves. This stage is final.
	RolledBack
)

var stageNames = [...]string{"admitted", "canary", "proof", "handover", "completed", "rolled_back"}

// String returns the name that is shown to operators.
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

// Running reports whether a rollout in this stage is still in progress.
func (s Stage) Running() bool { return s == Canary || s == Proof || s == Handover }

// Final reports whether a rollout in this stage has ended.
func (s Stage) Final() bool { return s == Completed || s == RolledBack }

// canTransitionTo reports whether a rollout in stage s may enter stage next.
func (s Stage) canTransitionTo(next Stage) bool {
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
	// Number counts the rollouts of the service; 0 if there was none.
	Number uint64 `cbor:"1,keyasint" json:"number"`
	// Version is the software version that serves until Completed; Target is the
	// version that replaces it.
	Version string `cbor:"2,keyasint" json:"version"`
	Target  string `cbor:"3,keyasint,omitempty" json:"target,omitempty"`
	Stage   Stage  `cbor:"4,keyasint,omitempty" json:"stage"`
	// Servers is the number of servers of the target version that receive requests in
	// Canary.
	Servers int `cbor:"5,keyasint,omitempty" json:"servers,omitempty"`
	// Within is the time within which the rollout must end.
	Within time.Duration `cbor:"6,keyasint,omitempty" json:"within_ns,omitempty"`
	// Ordered and Ended are when the rollout was ordered and when it ended, by the
	// clocks of the sources that accepted the order and the final stage.
	Ordered time.Time `cbor:"7,keyasint" json:"ordered"`
	Ended   time.Time `cbor:"8,keyasint" json:"ended"`
	// Why is the reason for entering the current stage.
	Why string `cbor:"9,keyasint,omitempty" json:"why,omitempty"`
	// Past lists previous rollouts, oldest first, at most MaxPast.
	Past []RolloutLine `cbor:"10,keyasint,omitempty" json:"past,omitempty"`
}

// MaxPast is the maximum number of previous rollouts that are kept per service.
const MaxPast = 8

// RolloutLine is the summary of one rollout in a history.
type RolloutLine struct {
	Number  uint64    `cbor:"1,keyasint" json:"number"`
	Version string    `cbor:"2,keyasint" json:"version"`
	Target  string    `cbor:"3,keyasint" json:"target"`
	Stage   Stage     `cbor:"4,keyasint" json:"stage"`
	Ordered time.Time `cbor:"5,keyasint" json:"ordered"`
	Ended   time.Time `cbor:"6,keyasint" json:"ended"`
	Why     string    `cbor:"7,keyasint,omitempty" json:"why,omitempty"`
}

// Summary returns the summary of the rollout for the history.
func (r *Rollout) Summary() RolloutLine {
	return RolloutLine{Number: r.Number, Version: r.Version, Target: r.Target, Stage: r.Stage, Ordered: r.Ordered, Ended: r.Ended, Why: r.Why}
}

// Next returns a new rollout, to version target, that follows r. r must not be in
// progress.
func (r *Rollout) Next(target string, within time.Duration, ordered time.Time) *Rollout {
	next := &Rollout{
		Number: r.Number + 1, Version: r.Serving(), Target: target, Stage: Canary,
		Within: within, Ordered: ordered, Why: "ordered",
	}
	if r.Number > 0 {
		past := r.Past[max(len(r.Past)-MaxPast+1, 0):]
		next.Past = append(slices.Clone(past), r.Summary())
	}
	return next
}

// Selectable reports whether servers of a software version may be selected for requests.
// In Handover the previous version may still be selected: a daemon that is still in
// Handover after others have rolled back must be able to find its servers.
func (r *Rollout) Selectable(version string) bool {
	switch r.Stage {
	case Canary, Proof, Handover:
		return version == r.Version || version == r.Target
	case Completed:
		return version == r.Target
	}
	return version == r.Version
}

// AcceptsNewRequests reports whether servers of a software version accept new requests. It
// differs from Selectable in Handover, where the previous version accepts none. The daemon
// that a server is announced to enforces it, whatever stage the sender of the request is in.
func (r *Rollout) AcceptsNewRequests(version string) bool {
	return r.Selectable(version) && (r.Stage != Handover || version == r.Target)
}

// Serving returns the software version that serves while no rollout is in progress.
func (r *Rollout) Serving() string {
	if r.Stage == Completed {
		return r.Target
	}
	return r.Version
}

// ErrStage is returned by Advance for a stage that cannot follow the current one.
var ErrStage = errors.New("invalid stage transition")

// Advance returns the rollout in its next stage, or ErrStage.
func (r *Rollout) Advance(next Stage, servers int, why string, at time.Time) (*Rollout, error) {
	if !r.Stage.canTransitionTo(next) {
		return nil, errors.Wrapf(ErrStage, "%s after %s", next, r.Stage)
	}
	advanced := *r
	advanced.Stage, advanced.Servers, advanced.Why = next, servers, why
	if next.Final() {
		advanced.Ended = at
	}
	return &advanced, nil
}

// Rollout returns the rollout resource of a service, or nil if there is none.
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

// DecodeRollout decodes a resource of KindRollout.
func DecodeRollout(raw []byte) (*Rollout, error) {
	var r Rollout
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return nil, errors.Wrap(err, "decode rollout")
	}
	r.Ordered, r.Ended = r.Ordered.UTC(), r.Ended.UTC()
	return &r, nil
}

// HasService reports whether a mesh has a service.
func (s *State) HasService(mesh, service string) bool {
	_, known := s.resources.Get(Key{Mesh: mesh, Kind: KindService, Name: service})
	return known
}

// SetRollout returns the state in which r is the rollout resource of a service.
func (s *State) SetRollout(mesh, service string, r *Rollout) (*State, error) {
	raw, err := encMode.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode rollout")
	}
	next := s.builder(s.Version + 1)
	next.set(Key{Mesh: mesh, Kind: KindRollout, Name: service}, raw)
	return next.build(), nil
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

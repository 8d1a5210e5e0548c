package snapshot

import (
	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

func (s *Snapshot) addRollouts(state *fleet.State, mesh string) (failed error) {
	state.EachOf(mesh, fleet.KindRollout, func(k fleet.Key, raw []byte) {
		r, err := fleet.DecodeRollout(raw)
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "rollout of %s", k.Name))
			return
		}
		s.rollouts[ServiceKey{Mesh: mesh, Name: k.Name}] = r
	})
	return failed
}

// Rollout returns the rollout resource of a service, or nil if its software versions
// are not known.
func (s *Snapshot) Rollout(k ServiceKey) *fleet.Rollout { return s.rollouts[k] }

// Selectable reports whether servers of a software version may be selected for requests.
// While the service's versions are not known, every version may.
func (s *Snapshot) Selectable(k ServiceKey, version string) bool {
	r := s.rollouts[k]
	return r == nil || r.Selectable(version)
}

// RolloutInProgress reports whether any rollout is in progress.
func (s *Snapshot) RolloutInProgress() bool {
	for _, r := range s.rollouts {
		if r.Stage.Running() {
			return true
		}
	}
	return false
}

// AcceptsNewRequests reports whether servers of a software version accept new requests.
func (s *Snapshot) AcceptsNewRequests(k ServiceKey, version string) bool {
	r := s.rollouts[k]
	return r == nil || r.AcceptsNewRequests(version)
}

// Rollouts returns the rollout resources of all services. The map must not be modified.
func (s *Snapshot) Rollouts() map[ServiceKey]*fleet.Rollout { return s.rollouts }

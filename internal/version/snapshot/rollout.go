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

// Admits reports whether servers of a software version may be selected for requests.
// While the service's versions are not known, every version may.
func (s *Snapshot) Admits(k ServiceKey, version string) bool {
	r := s.rollouts[k]
	return r == nil || r.Admits(version)
}

// RolloutRuns reports whether any rollout is in progress.
func (s *Snapshot) RolloutRuns() bool {
	for _, r := range s.rollouts {
		if r.Stage.Running() {
			return true
		}
	}
	return false
}

// Takes reports whether servers of a software version accept new requests.
func (s *Snapshot) Takes(k ServiceKey, version string) bool {
	r := s.rollouts[k]
	return r == nil || r.Takes(version)
}

// Rollouts returns the rollout resources of all services. The map must not be modified.
func (s *Snapshot) Rollouts() map[ServiceKey]*fleet.Rollout { return s.rollouts }

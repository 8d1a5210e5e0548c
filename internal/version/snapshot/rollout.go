package snapshot

import (
	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

func (s *Snapshot) addRollouts(state *fleet.State, mesh string) (failed error) {
	state.EachOf(mesh, fleet.KindRollout, func(k fleet.Key, raw []byte) {
		r, err := fleet.DecodeRollout(raw)
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "roll-out of %s", k.Name))
			return
		}
		s.rollouts[ServiceKey{Mesh: mesh, Name: k.Name}] = r
	})
	return failed
}

// Rollout returns what is known of a service's software versions, or nil.
func (s *Snapshot) Rollout(k ServiceKey) *fleet.Rollout { return s.rollouts[k] }

// Admits reports whether servers of a software version may get requests: any, while
// nothing is known of the service's versions.
func (s *Snapshot) Admits(k ServiceKey, version string) bool {
	r := s.rollouts[k]
	return r == nil || r.Admits(version)
}

// RolloutRuns reports whether any roll-out is not decided yet.
func (s *Snapshot) RolloutRuns() bool {
	for _, r := range s.rollouts {
		if r.Stage.Running() {
			return true
		}
	}
	return false
}

// Takes reports whether servers of a software version take new requests.
func (s *Snapshot) Takes(k ServiceKey, version string) bool {
	r := s.rollouts[k]
	return r == nil || r.Takes(version)
}

// Rollouts returns those of every service; the map must not be changed.
func (s *Snapshot) Rollouts() map[ServiceKey]*fleet.Rollout { return s.rollouts }

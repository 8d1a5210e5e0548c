package mesh

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
)

// State returns the resources of the version in force at this daemon.
func (m *Mesh) State(ctx context.Context) (*fleet.State, error) {
	reply := make(chan *fleet.State, 1)
	query := func(time.Time) { reply <- m.spread.State() }
	select {
	case m.ops <- query:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "state")
	}
	select {
	case state := <-reply:
		return state, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "state")
	}
}

package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/source"
)

// RPC methods for the history.
const (
	// sourceHistory asks a source, which queries the leader.
	sourceHistory = "Source.History"
	// sourceOwnHistory asks a source for the manifests that it has applied itself.
	sourceOwnHistory = "Source.OwnHistory"
)

// logLocalHistory is the log message for a history that may lack the newest versions, because
// the leader could not be reached.
const logLocalHistory = "leader unreachable; returned this source's own history"

// History implements operator.Backend. It returns the leader's history if possible, because
// only the leader is sure to have applied every version that was reported as accepted. If the
// leader cannot be reached, it returns the history of any source that replies.
func (d *Daemon) History(ctx context.Context, r source.HistoryRequest) ([]source.HistoryEntry, error) {
	if d.source != nil {
		return d.leaderHistory(ctx, r)
	}
	err := errors.New("the settings name no sources")
	for _, member := range d.settings.Source.Members {
		var history []source.HistoryEntry
		if err = d.pool.Call(ctx, member.Peer, sourceHistory, r, &history); err == nil {
			return history, nil
		}
	}
	return nil, err
}

// leaderHistory returns the leader's history, or this source's own if the leader cannot be
// reached.
func (d *Daemon) leaderHistory(ctx context.Context, r source.HistoryRequest) ([]source.HistoryEntry, error) {
	lead := d.source.Status().Lead
	addr, known := d.memberAddr(lead)
	if known && lead != d.settings.Node {
		callCtx, cancel := context.WithTimeout(ctx, sourceCallTimeout)
		defer cancel()
		var history []source.HistoryEntry
		err := d.pool.Call(callCtx, addr, sourceOwnHistory, r, &history)
		if err == nil {
			return history, nil
		}
		d.operatorLog().Info(logLocalHistory, "leader", lead, "error", err.Error(), "version", d.source.Status().Version)
	}
	return d.source.History(ctx, r)
}

// History returns the accepted manifests, from the leader if possible.
func (s *sourceService) History(r source.HistoryRequest, history *[]source.HistoryEntry) error {
	return s.handle(submitTimeout, func(ctx context.Context) (err error) {
		*history, err = s.d.leaderHistory(ctx, r)
		return err
	})
}

// OwnHistory returns the accepted manifests that this source has applied.
func (s *sourceService) OwnHistory(r source.HistoryRequest, history *[]source.HistoryEntry) error {
	return s.handle(submitTimeout, func(ctx context.Context) (err error) {
		*history, err = s.d.source.History(ctx, r)
		return err
	})
}

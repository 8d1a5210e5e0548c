package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/source"
)

// The names of the control methods for the history.
const (
	// sourceHistory asks a source, which asks its leader.
	sourceHistory = "Source.History"
	// sourceOwnHistory asks a source for what it has applied itself.
	sourceOwnHistory = "Source.OwnHistory"
)

// logOwnHistory tells that a history may lack the newest versions.
const logOwnHistory = "history of this source told: the leader's was not to be had"

// History implements operator.Backend: from the leader where it can be reached,
// for only the leader has applied everything that was told to be accepted; else
// from a source that answers.
func (d *Daemon) History(ctx context.Context, r source.HistoryRequest) ([]source.Accepted, error) {
	if d.source != nil {
		return d.leaderHistory(ctx, r)
	}
	err := errors.New("no sources in the settings")
	for _, member := range d.set.Source.Members {
		var history []source.Accepted
		if err = d.pool.Call(ctx, member.Peer, sourceHistory, r, &history); err == nil {
			return history, nil
		}
	}
	return nil, err
}

// leaderHistory is the leader's history, or this source's own.
func (d *Daemon) leaderHistory(ctx context.Context, r source.HistoryRequest) ([]source.Accepted, error) {
	lead := d.source.Status().Lead
	addr, known := d.memberAddr(lead)
	if known && lead != d.set.Node {
		try, cancel := context.WithTimeout(ctx, submitTry)
		defer cancel()
		var history []source.Accepted
		err := d.pool.Call(try, addr, sourceOwnHistory, r, &history)
		if err == nil {
			return history, nil
		}
		d.operatorLog().Info(logOwnHistory, "leader", lead, "error", err.Error(), "version", d.source.Status().Version)
	}
	return d.source.History(ctx, r)
}

// History returns the accepted manifests.
func (s *sourceService) History(r source.HistoryRequest, history *[]source.Accepted) error {
	return s.answer(submitTimeout, func(ctx context.Context) (err error) {
		*history, err = s.d.leaderHistory(ctx, r)
		return err
	})
}

// OwnHistory returns the accepted manifests that this source has applied.
func (s *sourceService) OwnHistory(r source.HistoryRequest, history *[]source.Accepted) error {
	return s.answer(submitTimeout, func(ctx context.Context) (err error) {
		*history, err = s.d.source.History(ctx, r)
		return err
	})
}

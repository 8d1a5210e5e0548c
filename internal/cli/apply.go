package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	// resendInterval is the time between two submissions of one manifest.
	resendInterval = 500 * time.Millisecond
	// minPollInterval and maxPollInterval limit the time between two requests
	// for the fleet status; it starts at the minimum and doubles up to the
	// maximum.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// applyReport is the output of apply.
type applyReport struct {
	source.Answer
	Mesh    string `json:"mesh"`
	Version uint64 `json:"version"`
	// InForce is the number of daemons that have the version in force, out of
	// Daemons. Both are set only with --wait.
	InForce int `json:"in_force,omitempty"`
	Daemons int `json:"daemons,omitempty"`
	// Seconds is the time from the submission until the version was in force on
	// every daemon.
	Seconds float64 `json:"seconds,omitempty"`
}

func newApply() *cobra.Command {
	var path string
	var api apiOptions
	var out output
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply -f MANIFEST",
		Short: "Submit a manifest",
		Long: `Submits a manifest through any daemon and prints the response of the sources.

Submitting the same manifest again is always safe: it is accepted once, and a
repeated submission gets the first response. A different manifest with the same
version number is refused, and the error names the accepted one.

With --wait, the manifest is resubmitted automatically if the response is lost or
no majority of the sources is reachable, and the command returns when the version
is in force on every known daemon.`,
		Example: "  daisygate apply -f examples/ahnenbach.yaml --wait 30s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			m, raw, err := readManifest(path)
			if err != nil {
				return err
			}
			client, err := api.client()
			if err != nil {
				return err
			}
			a := &applier{client: client, manifest: m, raw: raw, wait: wait, progress: newProgress(cmd.ErrOrStderr())}
			return a.run(cmd.Context(), cmd.OutOrStdout(), &out)
		},
	}
	fileFlag(cmd, &path)
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait until the version is in force on every daemon, for example 30s; 0s does not wait")
	api.flags(cmd)
	out.flags(cmd)
	return cmd
}

// applier submits a manifest to the sources and waits until it is in force.
type applier struct {
	client   *operator.Client
	manifest *manifest.Manifest
	raw      []byte
	wait     time.Duration
	progress *progress
}

func (a *applier) run(ctx context.Context, w io.Writer, out *output) error {
	begin := time.Now()
	if a.wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.wait)
		defer cancel()
	}
	answer, err := a.submit(ctx)
	a.progress.erase()
	if err != nil {
		return describeError(err, answer, a.manifest)
	}
	done := applyReport{Answer: answer, Mesh: a.manifest.Mesh, Version: a.manifest.Version}
	if out.format == formatText {
		fmt.Fprintf(w, "%s: mesh %s version %d is in fleet version %d\n", answer.Code, done.Mesh, done.Version, answer.Fleet)
	}
	if a.wait <= 0 {
		return out.print(w, done, func(io.Writer) {})
	}
	daemons, err := a.awaitInForce(ctx, answer.Fleet)
	a.progress.erase()
	if err != nil {
		return err
	}
	done.InForce, done.Daemons, done.Seconds = daemons, daemons, time.Since(begin).Seconds()
	return out.print(w, done, func(w io.Writer) {
		fmt.Fprintf(w, "in force on all %d daemons after %s\n", done.Daemons, time.Since(begin).Round(time.Millisecond))
	})
}

// submit sends the manifest. With --wait it retries until ctx ends.
func (a *applier) submit(ctx context.Context) (source.Answer, error) {
	for {
		answer, err := a.client.Submit(ctx, a.raw)
		if err == nil || a.wait <= 0 || !isRetryable(err) {
			return answer, err
		}
		a.progress.update("not accepted yet, resubmitting the same manifest: %v", err)
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(resendInterval):
		}
	}
}

// isRetryable reports whether an error may be temporary, so that the request
// can be retried.
func isRetryable(err error) bool {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return false
	}
	switch coded.Code {
	case result.CommitUnknown, result.NoQuorum, result.NotSource, result.TooManyRequests, result.Unreachable:
		return true
	}
	return false
}

// describeError adds the meaning of the result code, the accepted manifest that
// conflicts, or advice to an error.
func describeError(err error, answer source.Answer, m *manifest.Manifest) error {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return err
	}
	text := strings.TrimSpace(coded.Code.Meaning() + " " + coded.Detail)
	switch {
	case coded.Code == result.CommitUnknown:
		return result.Errorf(coded.Code, "%s\nSending the same manifest again is safe: mesh %s version %d is accepted at most once.", coded.Detail, m.Mesh, m.Version)
	case answer.Winner != nil:
		return result.Errorf(coded.Code, "%s\nThe winner: %s", text, formatWinner(answer.Winner))
	case coded.Code == result.Unreachable:
		return err
	}
	return result.Errorf(coded.Code, "%s", text)
}

func formatWinner(w *source.HistoryEntry) string {
	return fmt.Sprintf("mesh %s version %d, content %016x, fleet version %d, accepted at %s",
		w.Mesh, w.Version, w.Content, w.Fleet, w.Time.Format(time.RFC3339))
}

// awaitInForce polls the fleet status until every daemon has the version in
// force, and returns the number of daemons.
func (a *applier) awaitInForce(ctx context.Context, version uint64) (int, error) {
	interval := minPollInterval
	seen := tally{version: version}
	for {
		fleet, err := a.client.Fleet(ctx, false)
		if err != nil && !isRetryable(err) {
			return 0, err
		}
		if err == nil {
			seen = countInForce(&fleet, version)
			a.progress.update("in force on %d of %d daemons", seen.inForce, seen.daemons)
		}
		if seen.onAll {
			return seen.daemons, nil
		}
		select {
		case <-ctx.Done():
			return 0, seen.notInForceError()
		case <-time.After(interval):
		}
		interval = min(2*interval, maxPollInterval)
	}
}

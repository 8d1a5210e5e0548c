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
	// pollFirst and pollMost bound the time between two looks at the fleet; it
	// doubles from one to the other.
	pollFirst = 50 * time.Millisecond
	pollMost  = time.Second
)

// applied is what apply prints.
type applied struct {
	source.Answer
	Mesh    string `json:"mesh"`
	Version uint64 `json:"version"`
	// InForce and Daemons count daemons, with --wait.
	InForce int `json:"in_force,omitempty"`
	Daemons int `json:"daemons,omitempty"`
	// Seconds passed from the submission until it was in force everywhere.
	Seconds float64 `json:"seconds,omitempty"`
}

func newApply() *cobra.Command {
	var path string
	var to target
	var out output
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply -f MANIFEST",
		Short: "Submit a manifest",
		Long: `Submits a manifest through any daemon and prints the answer of the sources.

Sending the same manifest again is always safe: it is accepted once, and a
resend gets the first answer. Another manifest under the same version number is
refused, and the one that was accepted first is named.

With --wait, the manifest is sent again by itself while the answer is lost or no
majority of sources can be reached, and the command ends when every daemon that
is known has the version in force.`,
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
			client, err := to.client()
			if err != nil {
				return err
			}
			a := &applier{client: client, manifest: m, raw: raw, wait: wait, progress: newProgress(cmd.ErrOrStderr())}
			return a.run(cmd.Context(), cmd.OutOrStdout(), &out)
		},
	}
	fileFlag(cmd, &path)
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait until it is in force on every daemon, such as 30s; 0s does not wait")
	to.flags(cmd)
	out.flags(cmd)
	return cmd
}

// applier takes one manifest to the sources and waits for it.
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
	a.progress.end()
	if err != nil {
		return explain(err, answer, a.manifest)
	}
	done := applied{Answer: answer, Mesh: a.manifest.Mesh, Version: a.manifest.Version}
	if out.format == formatText {
		fmt.Fprintf(w, "%s: mesh %s version %d is in fleet version %d\n", answer.Code, done.Mesh, done.Version, answer.Fleet)
	}
	if a.wait <= 0 {
		return out.print(w, done, func(io.Writer) {})
	}
	daemons, err := a.awaitInForce(ctx, answer.Fleet)
	a.progress.end()
	if err != nil {
		return err
	}
	done.InForce, done.Daemons, done.Seconds = daemons, daemons, time.Since(begin).Seconds()
	return out.print(w, done, func(w io.Writer) {
		fmt.Fprintf(w, "in force on all %d daemons after %s\n", done.Daemons, time.Since(begin).Round(time.Millisecond))
	})
}

// submit sends the manifest once, or until its time is over when it may wait.
func (a *applier) submit(ctx context.Context) (source.Answer, error) {
	for {
		answer, err := a.client.Submit(ctx, a.raw)
		if err == nil || a.wait <= 0 || !resendable(err) {
			return answer, err
		}
		a.progress.show("not accepted yet, sending the same again: %v", err)
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(resendInterval):
		}
	}
}

// resendable are the failures that time may mend.
func resendable(err error) bool {
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

// explain adds to a failure what its reader should know or do.
func explain(err error, answer source.Answer, m *manifest.Manifest) error {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return err
	}
	text := strings.TrimSpace(coded.Code.Meaning() + " " + coded.Detail)
	switch {
	case coded.Code == result.CommitUnknown:
		return result.Errorf(coded.Code, "%s\nSending the same manifest again is safe: mesh %s version %d is accepted at most once.", coded.Detail, m.Mesh, m.Version)
	case answer.Winner != nil:
		return result.Errorf(coded.Code, "%s\nThe winner: %s", text, winnerText(answer.Winner))
	case coded.Code == result.Unreachable:
		return err
	}
	return result.Errorf(coded.Code, "%s", text)
}

func winnerText(w *source.Accepted) string {
	return fmt.Sprintf("mesh %s version %d, content %016x, fleet version %d, accepted at %s",
		w.Mesh, w.Version, w.Content, w.Fleet, w.Time.Format(time.RFC3339))
}

// awaitInForce looks at the fleet until every daemon has the version, and
// returns how many there are.
func (a *applier) awaitInForce(ctx context.Context, version uint64) (int, error) {
	interval := pollFirst
	seen := tally{version: version}
	for {
		fleet, err := a.client.Fleet(ctx, false)
		if err != nil && !resendable(err) {
			return 0, err
		}
		if err == nil {
			seen = count(&fleet, version)
			a.progress.show("in force on %d of %d daemons", seen.there, seen.daemons)
		}
		if seen.everywhere {
			return seen.daemons, nil
		}
		select {
		case <-ctx.Done():
			return 0, seen.pending()
		case <-time.After(interval):
		}
		interval = min(2*interval, pollMost)
	}
}

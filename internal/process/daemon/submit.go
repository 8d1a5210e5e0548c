package daemon

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// sourceCallTimeout is the timeout of a call to one source, so that an unresponsive source
// leaves time for the others. Trying the next source is safe because submissions are
// idempotent.
const sourceCallTimeout = 3 * time.Second

// Log messages about operator requests, written by the daemon that received the request. Each
// contains the outcome returned to the operator and the source that it came from.
const (
	logOrder = "order answered"
	logRead  = "read answered"
)

// submission collects the answers of the sources that were tried for one request.
type submission struct {
	answer source.Answer
	// by is the source that the answer came from, "" if it did not come from a source.
	by string
	// unknown is set once a source may have accepted the manifest. From then on, a refusal by
	// another source does not prove that nothing was accepted.
	unknown bool
}

// newSubmission returns the result for the case that no source replies.
func newSubmission() submission {
	return submission{answer: source.Answer{Code: result.NotSource, Detail: "no source replied"}}
}

// record adds the answer of one source and reports whether it settles the submission.
func (s *submission) record(by string, answer source.Answer, err error) (settled bool) {
	if err != nil {
		s.unknown = s.unknown || !definitelyNotAccepted(err)
		return false
	}
	s.by = by
	switch answer.Code {
	case result.NoQuorum, result.NotSource, result.StorageFailed, result.StateDiverged, result.FormatUnknown:
		// Another source may succeed.
	case result.CommitUnknown:
		s.unknown = true
	default:
		s.answer = answer
		return true
	}
	s.answer = answer
	return false
}

// finish sets the answer of a submission that no source settled. If a source may have accepted
// the manifest, the outcome is unknown, whatever the other sources answered.
func (s *submission) finish() {
	if s.unknown && s.answer.Code != result.CommitUnknown {
		s.answer = source.Answer{Code: result.CommitUnknown, Detail: "a source may have accepted the request, but its answer was lost"}
		s.by = ""
	}
}

// definitelyNotAccepted reports whether err rules out that a source has accepted the manifest.
func definitelyNotAccepted(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var remote rpc.ServerError
	return errors.As(err, &remote) && string(remote) == errNotSource.Error()
}

// Submit implements operator.Backend.
func (d *Daemon) Submit(ctx context.Context, m *manifest.Manifest) (source.Answer, error) {
	return d.ReplaceConfiguration(ctx, &source.Order{Manifest: *m})
}

// ReplaceConfiguration submits a manifest to this daemon if it is a source, then to the other
// sources one after another until one settles it.
func (d *Daemon) ReplaceConfiguration(ctx context.Context, o *source.Order) (source.Answer, error) {
	start := time.Now()
	s := d.askSources(ctx, sourceSubmit, *o, func(ctx context.Context) (source.Answer, error) { return d.source.Submit(ctx, o) })
	d.metrics.CountOrder(s.answer.Code)
	d.operatorLog().Info(logOrder, "mesh", o.Manifest.Mesh, "version", o.Manifest.Version, "base", o.Base.String(),
		"result", s.answer.Code.String(), "fleet", s.answer.Fleet, "detail", s.answer.Detail, "by", s.by, "took", time.Since(start).String())
	return s.answer, nil
}

// Newest returns the newest manifest of a mesh as its operator wrote it. The read is
// linearizable: the manifest is never older than one accepted before the call.
func (d *Daemon) Newest(ctx context.Context, mesh string) (source.Answer, error) {
	start := time.Now()
	s := d.askSources(ctx, sourceRead, mesh, func(ctx context.Context) (source.Answer, error) { return d.source.Read(ctx, mesh) })
	answer := checkText(s.answer)
	d.metrics.CountRead(answer.Code)
	d.operatorLog().Info(logRead, "mesh", mesh, "version", answer.Winner.Number(), "bytes", len(answer.Text),
		"result", answer.Code.String(), "fleet", answer.Fleet, "detail", answer.Detail, "by", s.by, "took", time.Since(start).String())
	return answer, nil
}

func (d *Daemon) operatorLog() logr.Logger { return d.log.WithName(telemetry.OperatorsLogger) }

// checkText returns an error answer if the text of a manifest is missing. It distinguishes a
// manifest without its text, which is a fault, from one that was never accepted, so that
// neither operators nor logs confuse the two.
func checkText(a source.Answer) source.Answer {
	switch {
	case a.Code != result.Answered || len(a.Text) > 0:
		return a
	case a.Winner == nil:
		return source.Answer{Code: result.NotReady, Detail: "no manifest has been accepted yet"}
	default:
		detail := fmt.Sprintf("version %d was accepted, but its text is missing", a.Winner.Version)
		return source.Answer{Code: result.TextNotHeld, Fleet: a.Fleet, Winner: a.Winner, Detail: detail}
	}
}

// askSources sends a request to this daemon if it is a source, then to the other sources one
// after another until one settles it. local executes the request on this daemon; method is the
// RPC method of the other sources.
func (d *Daemon) askSources(ctx context.Context, method string, args any, local func(context.Context) (source.Answer, error)) submission {
	s := newSubmission()
	if d.source != nil && s.try(ctx, d.settings.Node, local) {
		return s
	}
	for _, member := range d.sources() {
		if member.Node == d.settings.Node {
			continue
		}
		remote := func(ctx context.Context) (answer source.Answer, err error) {
			err = d.pool.Call(ctx, member.Peer, method, args, &answer)
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
		if s.try(ctx, member.Node, remote) {
			return s
		}
	}
	s.finish()
	return s
}

// try sends the request to one source and reports whether the answer settles the submission.
func (s *submission) try(ctx context.Context, node string, ask func(context.Context) (source.Answer, error)) (settled bool) {
	ctx, cancel := context.WithTimeout(ctx, sourceCallTimeout)
	defer cancel()
	answer, err := ask(ctx)
	return s.record(node, answer, err)
}

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

// submitTry bounds the wait for one source, so that a silent one leaves time
// for the others. Going on is safe: a submission is idempotent.
const submitTry = 3 * time.Second

// The messages of the log of operators, at the daemon that was asked. Each gives the
// outcome that the operator was told, and which source gave it.
const (
	logOrder = "order answered"
	logRead  = "read answered"
)

// submission gathers what the sources that were tried say to one manifest.
type submission struct {
	answer source.Answer
	// by is the source that gave the answer, "" where no source's answer is told.
	by string
	// unknown is set once a source may have taken the manifest in: from then on
	// a refusal of another does not prove that nothing was accepted.
	unknown bool
}

// newSubmission is what is known before any source was tried.
func newSubmission() submission {
	return submission{answer: source.Answer{Code: result.NotSource, Detail: "no source answers"}}
}

// take notes the answer of one source and reports whether it settles the
// submission.
func (s *submission) take(by string, answer source.Answer, err error) (settled bool) {
	if err != nil {
		s.unknown = s.unknown || !certainlyNotSent(err)
		return false
	}
	s.by = by
	switch answer.Code {
	case result.NoQuorum, result.NotSource, result.StorageFailed, result.StateDiverged, result.FormatUnknown:
		// Another source may do better.
	case result.CommitUnknown:
		s.unknown = true
	default:
		s.answer = answer
		return true
	}
	s.answer = answer
	return false
}

// giveUp ends a submission that no source settled. Where one may have taken the manifest
// in, the outcome is unknown, whatever the others said.
func (s *submission) giveUp() {
	if s.unknown && s.answer.Code != result.CommitUnknown {
		s.answer = source.Answer{Code: result.CommitUnknown, Detail: "a source took the manifest in and its answer was lost"}
		s.by = ""
	}
}

// certainlyNotSent tells failures after which the manifest cannot be with a
// source.
func certainlyNotSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var remote rpc.ServerError
	return errors.As(err, &remote) && string(remote) == errNotSource.Error()
}

// Submit implements operator.Backend.
func (d *Daemon) Submit(ctx context.Context, m *manifest.Manifest) (source.Answer, error) {
	return d.Order(ctx, &source.Order{Manifest: *m})
}

// Order hands a manifest in: here if this daemon is a source, then at each
// other source, until one settles it.
func (d *Daemon) Order(ctx context.Context, o *source.Order) (source.Answer, error) {
	began := time.Now()
	s := d.anySource(ctx, sourceSubmit, *o, func(ctx context.Context) (source.Answer, error) { return d.source.Submit(ctx, o) })
	d.metrics.Ordered(s.answer.Code)
	d.operatorLog().Info(logOrder, "mesh", o.Manifest.Mesh, "version", o.Manifest.Version, "base", o.Base.String(),
		"result", s.answer.Code.String(), "fleet", s.answer.Fleet, "detail", s.answer.Detail, "by", s.by, "took", time.Since(began).String())
	return s.answer, nil
}

// Newest returns the newest manifest of a mesh as its operator wrote it, never
// one that is older than what was accepted before the question.
func (d *Daemon) Newest(ctx context.Context, mesh string) (source.Answer, error) {
	began := time.Now()
	s := d.anySource(ctx, sourceRead, mesh, func(ctx context.Context) (source.Answer, error) { return d.source.Read(ctx, mesh) })
	answer := withText(s.answer)
	d.metrics.Read(answer.Code)
	d.operatorLog().Info(logRead, "mesh", mesh, "version", answer.Winner.Number(), "bytes", len(answer.Text),
		"result", answer.Code.String(), "fleet", answer.Fleet, "detail", answer.Detail, "by", s.by, "took", time.Since(began).String())
	return answer, nil
}

func (d *Daemon) operatorLog() logr.Logger { return d.log.WithName(telemetry.OperatorsLogger) }

// withText tells a manifest whose text is missing from one that was never accepted: the
// first is a fault, which neither operators nor logs may take for the second.
func withText(a source.Answer) source.Answer {
	switch {
	case a.Code != result.Answered || len(a.Text) > 0:
		return a
	case a.Winner == nil:
		return source.Answer{Code: result.NotReady, Detail: "no manifest was accepted yet"}
	default:
		detail := fmt.Sprintf("version %d was accepted, and its text is not at hand", a.Winner.Version)
		return source.Answer{Code: result.TextNotHeld, Fleet: a.Fleet, Winner: a.Winner, Detail: detail}
	}
}

// anySource asks this source, then each other one, until one settles the order.
// here does what method does at the others.
func (d *Daemon) anySource(ctx context.Context, method string, args any, here func(context.Context) (source.Answer, error)) submission {
	s := newSubmission()
	if d.source != nil && s.try(ctx, d.set.Node, here) {
		return s
	}
	for _, member := range d.sources() {
		if member.Node == d.set.Node {
			continue
		}
		there := func(ctx context.Context) (answer source.Answer, err error) {
			err = d.pool.Call(ctx, member.Peer, method, args, &answer)
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
		if s.try(ctx, member.Node, there) {
			return s
		}
	}
	s.giveUp()
	return s
}

// try asks one source and reports whether its answer settles the submission.
func (s *submission) try(ctx context.Context, node string, ask func(context.Context) (source.Answer, error)) (settled bool) {
	ctx, cancel := context.WithTimeout(ctx, submitTry)
	defer cancel()
	answer, err := ask(ctx)
	return s.take(node, answer, err)
}

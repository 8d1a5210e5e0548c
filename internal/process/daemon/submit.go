package daemon

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// submitTry bounds the wait for one source, so that a silent one leaves time
// for the others. Going on is safe: a submission is idempotent.
const submitTry = 3 * time.Second

// submission gathers what the sources that were tried say to one manifest.
type submission struct {
	answer source.Answer
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
func (s *submission) take(answer source.Answer, err error) (settled bool) {
	if err != nil {
		s.unknown = s.unknown || !certainlyNotSent(err)
		return false
	}
	switch answer.Code {
	case result.NoQuorum, result.NotSource, result.StorageFailed:
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

// unsettled is the answer when no source settled the submission.
func (s *submission) unsettled() source.Answer {
	if s.unknown && s.answer.Code != result.CommitUnknown {
		return source.Answer{Code: result.CommitUnknown, Detail: "a source took the manifest in and its answer was lost"}
	}
	return s.answer
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
	return d.anySource(ctx, sourceSubmit, *o, func(ctx context.Context) (source.Answer, error) { return d.source.Submit(ctx, o) })
}

// Newest returns the newest manifest of a mesh as its operator wrote it, never
// one that is older than what was accepted before the question.
func (d *Daemon) Newest(ctx context.Context, mesh string) (source.Answer, error) {
	return d.anySource(ctx, sourceRead, mesh, func(ctx context.Context) (source.Answer, error) { return d.source.Read(ctx, mesh) })
}

// anySource asks this source, then each other one, until one settles the order.
// here does what method does at the others.
func (d *Daemon) anySource(ctx context.Context, method string, args any, here func(context.Context) (source.Answer, error)) (source.Answer, error) {
	s := newSubmission()
	if d.source != nil && s.take(trySubmit(ctx, here)) {
		return s.answer, nil
	}
	for _, member := range d.sources() {
		if member.Node == d.set.Node {
			continue
		}
		try := func(ctx context.Context) (answer source.Answer, err error) {
			err = d.pool.Call(ctx, member.Peer, method, args, &answer)
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
		if s.take(trySubmit(ctx, try)) {
			return s.answer, nil
		}
	}
	return s.unsettled(), nil
}

func trySubmit(ctx context.Context, try func(context.Context) (source.Answer, error)) (source.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTry)
	defer cancel()
	return try(ctx)
}

package daemon_test

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// fakeSource answers submissions with a configured answer.
type fakeSource struct {
	answer source.Answer
	// dropConn closes the connection after the manifest was received.
	dropConn bool
	err      error
	conn     net.Conn
	// orders receives each submitted order, if it is set.
	orders chan source.Order
}

// Submit implements the RPC method Source.Submit.
func (f *fakeSource) Submit(o source.Order, answer *source.Answer) error {
	if f.orders != nil {
		f.orders <- o
	}
	if f.dropConn {
		_ = f.conn.Close()
	}
	*answer = f.answer
	return f.err
}

// Read implements the RPC method Source.Read.
func (f *fakeSource) Read(_ string, answer *source.Answer) error {
	*answer = f.answer
	return f.err
}

// listen serves f and returns its peer address.
func (f *fakeSource) listen(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := rpc.NewServer()
	c.Assert(server.RegisterName("Source", f), qt.IsNil)
	h := &http.Server{
		Handler:     peer.Handler(server, nil, &peer.Traffic{}),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context { f.conn = conn; return ctx },
	}
	go func() { _ = h.Serve(listener) }()
	c.Cleanup(func() { _ = h.Close() })
	return listener.Addr().String()
}

// closedAddr returns an address without a listener.
func closedAddr(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// TestSubmitSaysUnknownWhereItIs submits through a daemon that is not a source. The result may
// be "not run" only if no source can have accepted the manifest.
func TestSubmitSaysUnknownWhereItIs(t *testing.T) {
	accepted := &fakeSource{answer: source.Answer{Code: result.AlreadyAccepted, Fleet: 7}}
	lost := &fakeSource{dropConn: true}
	noQuorum := &fakeSource{answer: source.Answer{Code: result.NoQuorum, Detail: "no leader"}}
	fullDisk := &fakeSource{answer: source.Answer{Code: result.StorageFailed, Detail: "disk full"}}
	notSource := &fakeSource{err: errors.New("not a source")}
	for name, row := range map[string]struct {
		sources []*fakeSource
		want    result.Code
	}{
		"nobody there":               {[]*fakeSource{nil, nil}, result.NotSource},
		"none is a source":           {[]*fakeSource{notSource, nil}, result.NotSource},
		"no quorum":                  {[]*fakeSource{nil, noQuorum}, result.NoQuorum},
		"lost, then nobody":          {[]*fakeSource{lost, nil}, result.CommitUnknown},
		"lost, then no quorum":       {[]*fakeSource{lost, noQuorum}, result.CommitUnknown},
		"lost, then accepted":        {[]*fakeSource{lost, accepted}, result.AlreadyAccepted},
		"full disk, then accepted":   {[]*fakeSource{fullDisk, accepted}, result.AlreadyAccepted},
		"full disk, and nobody else": {[]*fakeSource{fullDisk, nil}, result.StorageFailed},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newClient(c, logr.Discard(), row.sources)
			answer, err := d.Submit(context.Background(), &manifest.Manifest{Mesh: "m", Version: 1})
			c.Assert(err, qt.IsNil)
			c.Assert(answer.Code, qt.Equals, row.want, qt.Commentf("%+v", answer))
		})
	}
}

// newClient returns a daemon that is not a source and uses the given sources. A nil source
// stands for an address without a listener.
func newClient(c *qt.C, log logr.Logger, sources []*fakeSource) *daemon.Daemon {
	set := settings.Defaults()
	set.Node, set.Domain, set.DataDir = "n1", "d1", filepath.Join(c.TempDir(), "data")
	set.Listen = settings.Listen{Caller: "127.0.0.1:0", Announce: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	for _, f := range sources {
		addr := closedAddr(c)
		if f != nil {
			own := *f
			addr = own.listen(c)
		}
		set.Source.Members = append(set.Source.Members, settings.Member{Node: "s-" + addr, Peer: addr})
	}
	d, err := daemon.New(set, log)
	c.Assert(err, qt.IsNil)
	return d
}

// TestReadTellsWhatIsMissing checks that a manifest without its text is not reported as a
// missing manifest, and that each read is logged. When sources wrongly answered reads with "no
// configuration was accepted yet", neither logs nor metrics showed it.
func TestReadTellsWhatIsMissing(t *testing.T) {
	winner := &source.HistoryEntry{Version: 99, Fleet: 30}
	for name, row := range map[string]struct {
		answer source.Answer
		want   result.Code
		line   string
	}{
		"whole":     {source.Answer{Code: result.Answered, Winner: winner, Text: []byte("text")}, result.Answered, `"version"=99 "bytes"=4 "result"="102 Answered"`},
		"no text":   {source.Answer{Code: result.Answered, Winner: winner}, result.TextNotHeld, `"version"=99 "bytes"=0 "result"="137 TextNotHeld"`},
		"none":      {source.Answer{Code: result.Answered}, result.NotReady, `"version"=0 "bytes"=0 "result"="216 NotReady"`},
		"no quorum": {source.Answer{Code: result.NoQuorum}, result.NoQuorum, `"version"=0 "bytes"=0 "result"="120 NoQuorum"`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var lines []string
			d := newClient(c, operatorLines(&lines), []*fakeSource{{answer: row.answer}})
			answer, err := d.Newest(context.Background(), "m")
			c.Assert(err, qt.IsNil)
			c.Check(answer.Code, qt.Equals, row.want)
			c.Assert(lines, qt.HasLen, 1)
			c.Check(lines[0], qt.Contains, `"msg"="read answered" "node"="n1" "mesh"="m" `+row.line)
			c.Check(lines[0], qt.Contains, `"by"="s-127.0.0.1:`)
		})
	}
}

// operatorLines returns a logger that appends the lines of the operators' logger to lines.
func operatorLines(lines *[]string) logr.Logger {
	return funcr.New(func(logger, line string) {
		if logger == telemetry.OperatorsLogger {
			*lines = append(*lines, line)
		}
	}, funcr.Options{})
}

// TestOrderHasItsLine checks that an order is logged with its base and its answer.
func TestOrderHasItsLine(t *testing.T) {
	c := qt.New(t)
	var lines []string
	d := newClient(c, operatorLines(&lines), []*fakeSource{{answer: source.Answer{Code: result.Accepted, Fleet: 31}}})
	_, err := d.ReplaceConfiguration(context.Background(), &source.Order{Manifest: manifest.Manifest{Mesh: "m", Version: 99}, Base: source.BaseVersion(97)})
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0], qt.Contains, `"msg"="order answered" "node"="n1" "mesh"="m" "version"=99 "base"="97" "result"="100 Accepted" "fleet"=31`)

	// If a source may have accepted the order, the answer of the next source is not the outcome.
	lines = nil
	d = newClient(c, operatorLines(&lines), []*fakeSource{{dropConn: true}, {answer: source.Answer{Code: result.NoQuorum}}})
	_, err = d.ReplaceConfiguration(context.Background(), &source.Order{Manifest: manifest.Manifest{Mesh: "m", Version: 99}})
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0], qt.Contains, `"base"="any" "result"="121 CommitUnknown"`)
	c.Check(lines[0], qt.Contains, `"by"=""`)
}

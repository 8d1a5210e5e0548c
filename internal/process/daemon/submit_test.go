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

// fakeSource answers submissions as it was told to.
type fakeSource struct {
	answer source.Answer
	// lose cuts the connection after the manifest came in.
	lose bool
	err  error
	conn net.Conn
	// orders takes what came in, if it is set.
	orders chan source.Order
}

// Submit is the RPC method.
func (f *fakeSource) Submit(o source.Order, answer *source.Answer) error {
	if f.orders != nil {
		f.orders <- o
	}
	if f.lose {
		_ = f.conn.Close()
	}
	*answer = f.answer
	return f.err
}

// Read is the RPC method.
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

// nobody is an address at which nothing listens.
func nobody(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// TestSubmitSaysUnknownWhereItIs submits through a daemon that is no source.
// "Not run" is said only where no source can have taken the manifest in.
func TestSubmitSaysUnknownWhereItIs(t *testing.T) {
	accepted := &fakeSource{answer: source.Answer{Code: result.AlreadyAccepted, Fleet: 7}}
	lost := &fakeSource{lose: true}
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

// newClient is a daemon beside no disk, with these sources.
func newClient(c *qt.C, log logr.Logger, sources []*fakeSource) *daemon.Daemon {
	set := settings.Defaults()
	set.Node, set.Domain, set.DataDir = "n1", "d1", filepath.Join(c.TempDir(), "data")
	set.Listen = settings.Listen{Caller: "127.0.0.1:0", Announce: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	for _, f := range sources {
		addr := nobody(c)
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

// TestReadTellsWhatIsMissing holds that a manifest without its text is not told as none,
// and that each read has a line: while sources answered reads with "no configuration was
// accepted yet", logs and metrics showed nothing of it.
func TestReadTellsWhatIsMissing(t *testing.T) {
	winner := &source.Accepted{Version: 99, Fleet: 30}
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

// operatorLines returns a logger whose lines about operators are put into lines.
func operatorLines(lines *[]string) logr.Logger {
	return funcr.New(func(logger, line string) {
		if logger == telemetry.OperatorsLogger {
			*lines = append(*lines, line)
		}
	}, funcr.Options{})
}

// TestOrderHasItsLine holds that the log tells what an operator handed in, on which base,
// and what was answered.
func TestOrderHasItsLine(t *testing.T) {
	c := qt.New(t)
	var lines []string
	d := newClient(c, operatorLines(&lines), []*fakeSource{{answer: source.Answer{Code: result.Accepted, Fleet: 31}}})
	_, err := d.Order(context.Background(), &source.Order{Manifest: manifest.Manifest{Mesh: "m", Version: 99}, Base: source.On(97)})
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0], qt.Contains, `"msg"="order answered" "node"="n1" "mesh"="m" "version"=99 "base"="97" "result"="100 Accepted" "fleet"=31`)

	// Where one source may have taken it in, what the next one says is not the outcome.
	lines = nil
	d = newClient(c, operatorLines(&lines), []*fakeSource{{lose: true}, {answer: source.Answer{Code: result.NoQuorum}}})
	_, err = d.Order(context.Background(), &source.Order{Manifest: manifest.Manifest{Mesh: "m", Version: 99}})
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0], qt.Contains, `"base"="any" "result"="121 CommitUnknown"`)
	c.Check(lines[0], qt.Contains, `"by"=""`)
}

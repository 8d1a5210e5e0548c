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

	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/source"
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
}

// Submit is the RPC method.
func (f *fakeSource) Submit(_ source.Order, answer *source.Answer) error {
	if f.lose {
		_ = f.conn.Close()
	}
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
			d := newClient(c, row.sources)
			answer, err := d.Submit(context.Background(), &manifest.Manifest{Mesh: "m", Version: 1})
			c.Assert(err, qt.IsNil)
			c.Assert(answer.Code, qt.Equals, row.want, qt.Commentf("%+v", answer))
		})
	}
}

// newClient is a daemon beside no disk, with these sources.
func newClient(c *qt.C, sources []*fakeSource) *daemon.Daemon {
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
	d, err := daemon.New(set, logr.Discard())
	c.Assert(err, qt.IsNil)
	return d
}

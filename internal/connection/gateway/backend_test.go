package gateway

import (
	"sync"
	"testing"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// TestLoadIsReadWhileServerLeaves guards against a data race between reading a server's
// load and removing the server.
func TestLoadIsReadWhileServerLeaves(t *testing.T) {
	g := New(Config{Directory: func() *directory.Directory { return &directory.Directory{} }}, logr.Discard())
	const addr = "127.0.0.1:1"
	var wait sync.WaitGroup
	wait.Go(func() {
		for range 1000 {
			g.LocalLoad(addr)
		}
	})
	for range 1000 {
		g.SetServers([]presence.Server{{Addr: addr, Slots: 1, Connections: 1, State: presence.Serving}})
		g.SetServers(nil)
	}
	wait.Wait()
}

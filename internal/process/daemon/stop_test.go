package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/settings"
)

// TestEveryListenerStops checks that a planned stop closes every listener that the settings can
// configure. The process would not exit while one is open.
func TestEveryListenerStops(t *testing.T) {
	c := qt.New(t)
	d := startDaemon(c, "a", nil, func(set *settings.Settings) {
		set.Listen.Health, set.Listen.Metrics, set.Listen.Control = "127.0.0.1:0", "127.0.0.1:0", ""
	})
	applyManifest(c, d)
	resp, err := http.Get("http://" + d.Addr("metrics") + "/metrics")
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Check(strings.Contains(string(body), "daisygate_ready 1"), qt.IsTrue)
	ended := make(chan struct{})
	go func() { d.stop(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		c.Fatal("the daemon did not stop")
	}
}

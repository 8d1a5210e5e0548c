package dissemination_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestSessions runs the golden files in testdata/sessions. Each drives a simulated fleet and
// shows every delta, pull and busy message, and the state of the fleet on request.
func TestSessions(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			s.command(t, d)
			qt.Assert(t, s.net.failure, qt.IsNil)
			return s.out.String()
		})
	})
}

// session is a simulated fleet driven by the commands of a golden file.
type session struct {
	net *network
	out strings.Builder
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }

func (s *session) command(t *testing.T, d *datadriven.TestData) {
	var name, length string
	count, group := 1, 0
	if d.HasArg("quiet") {
		defer func(trace func(string, ...any)) { s.net.trace = trace }(s.net.trace)
		s.net.trace = func(string, ...any) {}
	}
	if d.Cmd != "nodes" {
		d.MaybeScanArgs(t, "node", &name)
		d.MaybeScanArgs(t, "for", &length)
		d.MaybeScanArgs(t, "count", &count)
		d.MaybeScanArgs(t, "group", &group)
	}
	switch d.Cmd {
	case "nodes":
		var size, chunk, transfers int
		d.ScanArgs(t, "size", &size)
		d.MaybeScanArgs(t, "chunk", &chunk)
		d.MaybeScanArgs(t, "transfers", &transfers)
		s.net = newNetwork(1, size, 4, dissemination.Config{ChunkBytes: chunk, MaxTransfers: transfers})
		if d.Input != "" {
			s.net.sortedEdges = nil
		}
		for wire := range strings.FieldsSeq(d.Input) {
			a, b, _ := strings.Cut(wire, "-")
			s.net.sortedEdges = append(s.net.sortedEdges, edge(a, b))
		}
		s.net.trace = func(format string, args ...any) { s.printf("%6s "+format, append([]any{s.net.now}, args...)...) }
	case "accept":
		for range count {
			ok := s.net.accept(func(m *manifest.Manifest) {
				if len(m.Routes) == 0 {
					manyRoutes(m)
				}
				m.Routes[int(m.Version)%routes].Timeout++
			})
			if !ok {
				s.printf("refused: no leader with a majority")
			}
			s.net.now += step
			s.net.deliver()
		}
	case "run":
		length, err := time.ParseDuration(length)
		qt.Assert(t, err, qt.IsNil)
		s.net.run(length)
	case "kill":
		s.net.nodes[name].dead = true
	case "restart":
		s.net.restart(s.net.nodes[name])
	case "freeze", "thaw":
		s.net.nodes[name].frozen = d.Cmd == "freeze"
	case "cut":
		for node := range strings.FieldsSeq(d.Input) {
			s.net.partition[node] = group
		}
	case "heal":
		clear(s.net.partition)
	case "late":
		// Chunks of this version arrive late at the node.
		var version uint64
		d.ScanArgs(t, "version", &version)
		delay, err := time.ParseDuration(length)
		qt.Assert(t, err, qt.IsNil)
		s.net.fault = func(p packet) []time.Duration {
			if p.to == name && p.m.Chunk != nil && p.m.Chunk.Version == version {
				return []time.Duration{delay}
			}
			return []time.Duration{0}
		}
	case "status":
		s.status()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

func (s *session) status() {
	for _, d := range s.net.sorted() {
		if d.dead || d.frozen {
			s.printf("%s dead or frozen", d.name)
			continue
		}
		parent, depth := d.core.Parent()
		fresh := "fresh"
		if d.core.Stale(epoch.Add(s.net.now)) {
			fresh = fmt.Sprintf("stale, sought links %d times", d.seeks)
		}
		s.printf("%s version %d, parent %s, depth %d, confirmed by %s, %s", d.name, d.core.State().Version, parent, depth, d.core.Confirmed(), fresh)
	}
	if l := s.net.nodes[s.net.lead]; l != nil {
		f := l.core.InForce()
		s.printf("leader %s in term %d: version %d in force on %d, laggards %v", l.name, s.net.term, f.Version, f.Count, f.Laggards)
	}
}

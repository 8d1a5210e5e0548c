package membership_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

// session is a fleet that a golden file drives.
type session struct {
	*sim
	t *testing.T
}

// TestSessions plays the golden files: whole sessions of a small fleet, with
// what every daemon takes for the truth after each step.
func TestSessions(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{t: t}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.step(d)
		})
	})
}

func (s *session) step(d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		return s.fleet(d)
	case "run":
		s.run(s.duration(d, "for"))
	case "kill":
		s.node(d).up = false
	case "freeze":
		s.node(d).frozen = true
	case "thaw":
		s.node(d).frozen = false
	case "restart":
		n := s.node(d)
		n.up = false
		s.start(n, s.duration(d, "skew"))
	case "twin":
		twin := &simNode{node: s.node(d).node}
		twin.node.Addr = "10.1.0.1:7000"
		s.nodes = append(s.nodes, twin)
		s.byAddr[twin.node.Addr] = twin
		s.start(twin, 0)
	case "server":
		return s.server(d)
	case "leave":
		n := s.node(d)
		s.do(n, n.core.Leave())
	case "suspect":
		n := s.node(d)
		var of string
		d.ScanArgs(s.t, "of", &of)
		s.do(n, n.core.Probed(s.now, of, false))
	case "cut":
		var region string
		d.ScanArgs(s.t, "region", &region)
		s.cut = func(a, b view.Node) bool { return (a.Region == region) != (b.Region == region) }
	case "isolate":
		name := s.node(d).node.Name
		s.cut = func(a, b view.Node) bool { return (a.Name == name) != (b.Name == name) }
	case "heal":
		s.cut = func(_, _ view.Node) bool { return false }
	case "old-copy":
		return s.oldCopy(d)
	default:
		s.t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.show()
}

func (s *session) fleet(d *datadriven.TestData) string {
	var size, regions int
	d.ScanArgs(s.t, "size", &size)
	d.ScanArgs(s.t, "regions", &regions)
	s.sim = newSim(1, 1)
	for range size {
		s.start(s.add(regions), 0)
	}
	return ""
}

func (s *session) node(d *datadriven.TestData) *simNode {
	var name string
	d.ScanArgs(s.t, "node", &name)
	return s.named(name)
}

func (s *session) named(name string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.node.Name == name })
	if i < 0 {
		s.t.Fatalf("no node %s", name)
	}
	return s.nodes[i]
}

func (s *session) duration(d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(s.t, key, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

func (s *session) server(d *datadriven.TestData) string {
	states := map[string]presence.ServerState{"serving": presence.Serving, "draining": presence.Draining}
	var state string
	d.ScanArgs(s.t, "state", &state)
	n := s.node(d)
	s.do(n, n.core.SetServers([]presence.Server{{Mesh: "m", Service: "s", Addr: "10.0.0.9:80", State: states[state]}}))
	return s.show()
}

// oldCopy lets a daemon bring up the record of a dead one, as one that was cut
// off would.
func (s *session) oldCopy(d *datadriven.TestData) string {
	var of string
	d.ScanArgs(s.t, "of", &of)
	dead := s.named(of)
	old := presence.Record{Node: dead.node, Incarnation: uint64(dead.began.UnixMilli()), Seq: 1}
	n := s.node(d)
	from := n.core.Links()[0].Name
	s.do(n, n.core.ReceivePresence(s.now, from, presence.Message{Type: presence.MsgRecords, Records: []presence.Record{old}}))
	return s.show()
}

// show groups the daemons by what they know: each record as name, time of the
// incarnation against the begin of the session, content, life and state.
func (s *session) show() string {
	if s.fault != "" {
		return "FAULT: " + s.fault
	}
	known := map[string][]string{}
	for _, n := range s.live() {
		text := s.records(n)
		known[text] = append(known[text], n.node.Name)
	}
	var out []string
	for text, names := range known {
		out = append(out, strings.Join(names, " ")+" know\n"+text)
	}
	slices.Sort(out)
	for _, n := range s.live() {
		if n.conflict > 0 {
			out = append(out, n.node.Name+" at "+n.node.Addr+" reports two daemons with one name\n")
		}
	}
	return strings.Join(out, "")
}

func (s *session) records(n *simNode) string {
	begin := time.UnixMilli(1_700_000_000_000)
	var b strings.Builder
	for _, r := range n.core.Presence().Records() {
		at := time.UnixMilli(int64(r.Incarnation)).Sub(begin).Milliseconds()
		fmt.Fprintf(&b, "  %s started=%sms seq=%d", r.Node.Name, strconv.FormatInt(at, 10), r.Seq)
		if r.Leaving {
			b.WriteString(" leaving")
		}
		for _, server := range r.Servers {
			fmt.Fprintf(&b, " server-takes-work=%t", server.State.TakesWork())
		}
		b.WriteByte('\n')
	}
	return b.String()
}

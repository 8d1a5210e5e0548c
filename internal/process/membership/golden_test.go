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

// session is a simulated fleet driven by the commands of a golden file.
type session struct {
	*sim
	t *testing.T
}

// TestSessions runs the golden files: scenarios of a small fleet, with the records known to
// every daemon after each command.
func TestSessions(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{t: t}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.command(d)
		})
	})
}

func (s *session) command(d *datadriven.TestData) string {
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
		s.execute(n, n.core.Leave())
	case "suspect":
		n := s.node(d)
		var of string
		d.ScanArgs(s.t, "of", &of)
		s.execute(n, n.core.Probed(s.now, of, false))
	case "cut":
		var region string
		d.ScanArgs(s.t, "region", &region)
		s.partitioned = func(a, b view.Node) bool { return (a.Region == region) != (b.Region == region) }
	case "isolate":
		name := s.node(d).node.Name
		s.partitioned = func(a, b view.Node) bool { return (a.Name == name) != (b.Name == name) }
	case "heal":
		s.partitioned = func(_, _ view.Node) bool { return false }
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
	s.execute(n, n.core.SetServers([]presence.Server{{Mesh: "m", Service: "s", Addr: "10.0.0.9:80", State: states[state]}}))
	return s.show()
}

// oldCopy makes a daemon receive the record of a dead daemon, as if another daemon that was
// partitioned had sent its outdated copy.
func (s *session) oldCopy(d *datadriven.TestData) string {
	var of string
	d.ScanArgs(s.t, "of", &of)
	dead := s.named(of)
	old := presence.Record{Node: dead.node, Incarnation: uint64(dead.startedAt.UnixMilli()), Seq: 1}
	n := s.node(d)
	from := n.core.Links()[0].Name
	s.execute(n, n.core.ReceivePresence(s.now, from, presence.Message{Type: presence.MsgRecords, Records: []presence.Record{old}}))
	return s.show()
}

// show groups the daemons by the records they know. Each record is shown with its name, the
// time of its incarnation relative to the start of the session, its sequence number and the
// state of the daemon and its servers.
func (s *session) show() string {
	if s.violation != "" {
		return "FAULT: " + s.violation
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
			fmt.Fprintf(&b, " server-takes-work=%t", server.State.AcceptsRequests())
		}
		b.WriteByte('\n')
	}
	return b.String()
}

package source

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestSessions replays scripted scenarios with a group of sources. testdata/sessions
// contains the expected status of each member and the expected answers to operators.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &scenario{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.command(t, d)
			if s.cluster.violation != "" {
				t.Fatal(s.cluster.violation)
			}
			return out
		})
	})
}

type scenario struct {
	cluster *testCluster
	// pending are the answers, in order of submission, that were not printed yet.
	pending []*Answer
}

// command runs one directive. Arguments of a single letter are member names.
func (s *scenario) command(t *testing.T, d *datadriven.TestData) string {
	var ids []string
	for _, arg := range d.CmdArgs {
		if len(arg.Vals) == 0 && len(arg.Key) == 1 {
			ids = append(ids, arg.Key)
		}
	}
	switch d.Cmd {
	case "cluster":
		var n int
		d.ScanArgs(t, "n", &n)
		s.cluster = newTestCluster(n, 0)
		if d.HasArg("history") {
			d.ScanArgs(t, "history", &s.cluster.historyLimit)
			s.cluster.compactAfter = uint64(s.cluster.historyLimit)
			s.restartAll(t)
		}
		if d.HasArg("without") {
			var id string
			d.ScanArgs(t, "without", &id)
			s.cluster.crash(id, 0, true)
		}
		if !d.HasArg("fresh") {
			s.cluster.run(30)
		}
	case "tick":
		ticks := 3
		if d.HasArg("ticks") {
			d.ScanArgs(t, "ticks", &ticks)
		}
		s.cluster.tick(s.cluster.members[ids[0]], ticks)
	case "run":
		var ticks int
		d.ScanArgs(t, "ticks", &ticks)
		s.cluster.run(ticks)
	case "submit":
		if len(ids) == 0 {
			ids = []string{s.cluster.leader().id}
		}
		return s.submit(t, d, ids[0])
	case "answers":
		return s.answers()
	case "part":
		s.cluster.setLink(ids[0], ids[1], true)
	case "deliver", "drop":
		s.messages(d.Cmd, ids)
	default:
		return s.applyToEach(t, d, ids)
	}
	return s.status()
}

func (s *scenario) restartAll(t *testing.T) {
	for _, id := range s.cluster.ids {
		s.cluster.crash(id, 0, false)
		if err := s.cluster.start(id); err != nil {
			t.Fatal(err)
		}
	}
}

// messages delivers, in order, or drops all messages for the given members.
func (s *scenario) messages(cmd string, ids []string) {
	for _, id := range ids {
		for i := 0; i < len(s.cluster.net); {
			if s.cluster.net[i].To != id {
				i++
				continue
			}
			s.cluster.blockedLinks[[2]string{s.cluster.net[i].From, id}] = cmd == "drop"
			s.cluster.deliver(i, false)
		}
		s.cluster.isolate(id, false)
	}
}

// applyToEach runs a directive on each of the given members and returns the status of all
// members.
func (s *scenario) applyToEach(t *testing.T, d *datadriven.TestData, ids []string) string {
	for _, id := range ids {
		m := s.cluster.members[id]
		switch d.Cmd {
		case "cut":
			s.cluster.isolate(id, true)
		case "heal":
			s.cluster.isolate(id, false)
		case "crash":
			s.cluster.crash(id, 0, false)
		case "lose-disk":
			s.cluster.loseDisk(id)
		case "fill-disk":
			m.dir.full = true
		case "append-garbage":
			m.dir.names["log"].data = append(m.dir.names["log"].data, invalidRecord...)
		case "damage":
			var offset int
			d.ScanArgs(t, "offset", &offset)
			data := m.dir.names["log"].data
			data[(offset+len(data))%len(data)] ^= 1
		case "start":
			if err := s.cluster.start(id); err != nil {
				return err.Error()
			}
		default:
			t.Fatalf("unknown directive %s", d.Cmd)
		}
	}
	return s.status()
}

// invalidRecord starts with a valid record header but is not a valid record.
const invalidRecord = "\xd5DG1\x10\x00\x00\x00torn"

func (s *scenario) submit(t *testing.T, d *datadriven.TestData, at string) string {
	var mesh, content string
	var version uint64
	d.ScanArgs(t, "mesh", &mesh)
	d.ScanArgs(t, "version", &version)
	d.ScanArgs(t, "content", &content)
	m := testManifest(mesh, version, content)
	if d.HasArg("host") {
		m.Hosts = make([]string, 1)
		d.ScanArgs(t, "host", &m.Hosts[0])
	}
	times := 1
	if d.HasArg("times") {
		d.ScanArgs(t, "times", &times)
	}
	for i := range times {
		s.submitOne(at, m, version+uint64(i))
	}
	if !d.HasArg("wait") {
		return "pending"
	}
	s.cluster.run(1)
	return s.answers()
}

func (s *scenario) submitOne(at string, m *manifest.Manifest, version uint64) {
	copied := *m
	copied.Version = version
	s.pending = append(s.pending, s.cluster.submit(s.cluster.members[at], &copied))
	if version%10 == 0 {
		s.cluster.run(1)
	}
}

// answers returns the answer to the last submit. Each answer is returned only once.
func (s *scenario) answers() string {
	if len(s.pending) == 0 {
		return "none"
	}
	a := s.pending[len(s.pending)-1]
	if a.Code == 0 {
		return "no answer yet"
	}
	s.pending = nil
	var b strings.Builder
	fmt.Fprintf(&b, "%s fleet=%d", a.Code, a.Fleet)
	if a.Winner != nil {
		fmt.Fprintf(&b, " winner=%s/%d fleet=%d", a.Winner.Mesh, a.Winner.Version, a.Winner.Fleet)
	}
	if a.Detail != "" {
		fmt.Fprintf(&b, " (%s)", a.Detail)
	}
	return b.String()
}

func (s *scenario) status() string {
	var b strings.Builder
	for _, id := range s.cluster.ids {
		m := s.cluster.members[id]
		if m.node == nil {
			fmt.Fprintf(&b, "%s down\n", id)
			continue
		}
		st := m.node.Status()
		fmt.Fprintf(&b, "%s %s term=%d lead=%s commit=%d version=%d repair=%s", id, st.Role, st.Term, st.Lead, st.Commit, m.machine.state.Version, st.Repair.State)
		if st.Failure != "" {
			fmt.Fprintf(&b, " failure=%q", st.Failure)
		}
		b.WriteString("\n")
	}
	return b.String()
}

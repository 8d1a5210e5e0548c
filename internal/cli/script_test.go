package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/dev"
)

var update = flag.Bool("update", false, "rewrite the golden output in testdata/script")

// patience bounds every wait for something that must happen; it is no measure.
const patience = 60 * time.Second

// TestScript runs the golden sessions against a mesh in this process. The
// command line is called as main calls it.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"mesh":      cmdMesh,
			"daisygate": func(ts *testscript.TestScript, _ bool, args []string) { command(ts, ExitOK, args) },
			"fails":     cmdFails,
			"race":      cmdRace,
			"settle":    cmdSettle,
			"losing":    cmdLosing,
			"hold":      cmdHold,
			"until":     cmdUntil,
			"load":      cmdLoad,
			"fake":      cmdFake,
			"normal":    cmdNormal,
		},
	})
}

// session is the mesh of one script.
type session struct {
	mesh  *dev.Mesh
	token string
	// release ends the request that hold began.
	release context.CancelFunc
	load    *load
}

// sessions holds the mesh of each script by its work folder.
var sessions sync.Map

func sessionOf(ts *testscript.TestScript) *session {
	s, ok := sessions.Load(ts.Getenv("WORK"))
	if !ok {
		ts.Fatalf("no mesh: say mesh first")
	}
	return s.(*session)
}

// cmdMesh starts three daemons, with archive beside n1 and n2 and tree beside
// n3. "mesh TOKEN" makes the content of a file the operators' token.
func cmdMesh(ts *testscript.TestScript, _ bool, args []string) {
	cfg := dev.Config{Log: logr.Discard(), Servers: []dev.Server{
		{Node: 0, Mesh: "ahnenbach", Service: "archive"},
		{Node: 1, Mesh: "ahnenbach", Service: "archive"},
		{Node: 2, Mesh: "ahnenbach", Service: "tree"},
	}}
	s := &session{}
	if len(args) == 1 {
		cfg.TokenFile = ts.MkAbs(args[0])
		s.token = strings.TrimSpace(ts.ReadFile(args[0]))
	}
	var err error
	s.mesh, err = dev.Start(cfg)
	ts.Check(err)
	ts.Defer(func() { ts.Check(s.mesh.Stop()) })
	sessions.Store(ts.Getenv("WORK"), s)
	for i, n := range s.mesh.Nodes {
		ts.Setenv(fmt.Sprintf("N%d", i+1), n.Operator)
		ts.Setenv(fmt.Sprintf("CALLER%d", i+1), n.Caller)
	}
	for i, b := range s.mesh.Servers {
		ts.Setenv(fmt.Sprintf("SERVER%d", i+1), b.Addr())
	}
	s.eventually(ts, func() error {
		for i := range s.mesh.Nodes {
			status, err := s.client(i).Status(context.Background())
			if err != nil {
				return err
			}
			fleet, err := s.client(i).Fleet(context.Background(), false)
			if err != nil {
				return err
			}
			if status.Source.Lead == "" || fleet.Daemons < len(s.mesh.Nodes) {
				return errors.Newf("%s knows leader %q and %d daemons", status.Node, status.Source.Lead, fleet.Daemons)
			}
		}
		return nil
	})
}

func (s *session) client(node int) *operator.Client {
	return &operator.Client{Addr: s.mesh.Nodes[node].Operator, Token: s.token, HTTP: http.DefaultClient}
}

func (s *session) eventually(ts *testscript.TestScript, f func() error) {
	deadline := time.Now().Add(patience)
	for err := f(); err != nil; err = f() {
		if time.Now().After(deadline) {
			ts.Fatalf("not in time: %v", err)
		}
		// Slower than the operator API's limit: what waits uses up nothing.
		time.Sleep(100 * time.Millisecond)
	}
}

// fileFlags are the flags whose value is a file of the script.
var fileFlags = map[string]bool{"-f": true, "--token-file": true, "--settings": true, "--data-dir": true}

func invoke(ts *testscript.TestScript, args []string) (out, errOut bytes.Buffer, code int) {
	args = append([]string(nil), args...)
	for i := 1; i < len(args); i++ {
		if fileFlags[args[i-1]] {
			args[i] = ts.MkAbs(args[i])
		}
	}
	code = run(context.Background(), args, &out, &errOut, nil)
	return out, errOut, code
}

// command runs the command line and wants an exit code.
func command(ts *testscript.TestScript, want int, args []string) {
	out, errOut, code := invoke(ts, args)
	_, _ = ts.Stdout().Write(out.Bytes())
	_, _ = ts.Stderr().Write(errOut.Bytes())
	if code != want {
		ts.Fatalf("exit code %d, want %d\n%s%s", code, want, out.String(), errOut.String())
	}
}

// cmdFails is "fails EXITCODE ARGS...".
func cmdFails(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	command(ts, want, args[1:])
}

// cmdUntil is "until REGEXP ARGS...": the command line again and again, until
// its output matches.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile(args[0])
	sessionOf(ts).eventually(ts, func() error {
		out, errOut, code := invoke(ts, args[1:])
		if code != ExitOK || !want.MatchString(out.String()) {
			return errors.Newf("exit code %d\n%s%s", code, out.String(), errOut.String())
		}
		return nil
	})
}

// cmdRace submits two manifests at the same time through two daemons and wants
// one accepted, the other refused with the first named by its content.
func cmdRace(ts *testscript.TestScript, _ bool, files []string) {
	var wait sync.WaitGroup
	var outs, errs [2]bytes.Buffer
	var codes [2]int
	for i, file := range files {
		wait.Go(func() {
			outs[i], errs[i], codes[i] = invoke(ts, []string{"apply", "-f", file, "--operator", ts.Getenv(fmt.Sprintf("N%d", i+2)), "--wait", patience.String()})
		})
	}
	wait.Wait()
	if codes[0]+codes[1] != ExitRefused {
		ts.Fatalf("exit codes %v\n%s\n%s", codes, errs[0].String(), errs[1].String())
	}
	loser := 0
	if codes[0] == ExitOK {
		loser = 1
	}
	_, _ = ts.Stdout().Write(outs[1-loser].Bytes())
	_, _ = ts.Stderr().Write(errs[loser].Bytes())
	out, _, _ := invoke(ts, []string{"history", "--operator", ts.Getenv("N1"), "--limit", "1"})
	content := strings.Fields(strings.Split(out.String(), "\n")[1])[3]
	if !strings.Contains(errs[loser].String(), content) {
		ts.Fatalf("the winner %s is not named in %s", content, errs[loser].String())
	}
}

// cmdSettle waits until every daemon and source has the newest version, both links and
// sees every backend server.
func cmdSettle(ts *testscript.TestScript, _ bool, _ []string) {
	s := sessionOf(ts)
	s.eventually(ts, func() error {
		for i := range s.mesh.Nodes {
			fleet, err := s.client(i).Fleet(context.Background(), false)
			if err != nil {
				return err
			}
			servers, nodes := 0, fleet.Nodes
			for _, n := range nodes {
				servers += len(n.Servers)
				if !n.Ready || n.Stale || n.Links < 2 || n.Version != nodes[0].Version || n.Source.Version != n.Version {
					return errors.Newf("%+v", n)
				}
			}
			if len(nodes) != len(s.mesh.Nodes) || servers != len(s.mesh.Servers) {
				return errors.Newf("%d daemons, %d backend servers", len(nodes), servers)
			}
		}
		return nil
	})
}

var (
	dates     = regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+Z`)
	durations = regexp.MustCompile(`\bafter (\d+(\.\d+)?(ms|µs|s))+`)
	contents  = regexp.MustCompile(`\b[0-9a-f]{16}\b`)
	// causes match what the system says of a lost connection.
	causes = regexp.MustCompile(`before the answer came \(.*\)`)
	// roles match a source's role, term and commit in the status table.
	roles  = regexp.MustCompile(`(leader|follower) +\d+ +\d+`)
	blanks = regexp.MustCompile(` {2,}`)
)

// cmdNormal is "normal stdout FILE" or "normal stderr FILE": the last output
// with everything that varies replaced.
func cmdNormal(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	text = strings.ReplaceAll(text, ts.Getenv("WORK")+string(filepath.Separator), "")
	s := sessionOf(ts)
	for _, n := range s.mesh.Nodes {
		text = strings.ReplaceAll(text, n.Operator, "<"+n.Name+">")
	}
	for i, b := range s.mesh.Servers {
		text = strings.ReplaceAll(text, b.Addr(), fmt.Sprintf("<server%d>", i+1))
	}
	if losing := ts.Getenv("LOSING"); losing != "" {
		text = strings.ReplaceAll(text, losing, "<losing>")
	}
	text = dates.ReplaceAllString(text, "<date>")
	text = durations.ReplaceAllString(text, "after <time>")
	text = contents.ReplaceAllString(text, "<content>")
	text = causes.ReplaceAllString(text, "before the answer came (<cause>)")
	// A source that missed the answers of the others at the founding got its vote by a repair.
	text = strings.ReplaceAll(text, "ok, repair done", "ok")
	text = roles.ReplaceAllString(text, "<role>  <term>  <commit>")
	text = blanks.ReplaceAllString(text, "  ")
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

package docs

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/examples"
	"github.com/daisygate/daisygate/internal/cli"
	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/dev"
)

// patience bounds every wait for something that must happen; it is not a requirement on
// the duration.
const patience = 60 * time.Second

var (
	// devBlock is a block of commands that also run against a mesh of this
	// process; exitMark ends a command that must fail.
	devBlock = regexp.MustCompile("(?ms)^```sh dev\n(.*?)^```")
	exitMark = regexp.MustCompile(` # exit (\d)$`)
	// operatorOf is the operator address of a daemon of the page's fleet.
	operatorOf = regexp.MustCompile(`127\.0\.0\.1:71(\d)3`)
	metricName = regexp.MustCompile(`daisygate_[a-z_]+[a-z]`)
	logLine    = regexp.MustCompile(`log "([^"]+)"`)
	codeName   = regexp.MustCompile(`\b([1-5]\d\d) ([A-Z][a-z]+[A-Z][A-Za-z]+)`)
	codeCell   = regexp.MustCompile(`(?m)^\| (\d{3}) \| (\w+) \|`)
)

func read(c *qt.C, path string) string {
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	return string(raw)
}

// TestOperatingNamesRealThings holds that the metrics, log lines and result
// codes of OPERATIONS.md exist; other tests hold METRICS.md and RESULT-CODES.md
// to the code.
func TestOperatingNamesRealThings(t *testing.T) {
	c := qt.New(t)
	page, metrics := read(c, "OPERATIONS.md"), read(c, "METRICS.md")
	for _, name := range metricName.FindAllString(page, -1) {
		c.Check(strings.Contains(metrics, "`"+name), qt.IsTrue, qt.Commentf("no metric %s", name))
	}
	names := map[string]string{}
	for _, m := range codeCell.FindAllStringSubmatch(read(c, "RESULT-CODES.md"), -1) {
		names[m[1]] = m[2]
	}
	for _, m := range codeName.FindAllStringSubmatch(page, -1) {
		c.Check(names[m[1]], qt.Equals, m[2])
	}
	code := sources(c, "../internal")
	for _, m := range logLine.FindAllStringSubmatch(page, -1) {
		c.Check(strings.Contains(code, strconv.Quote(m[1])), qt.IsTrue, qt.Commentf("nothing logs %q", m[1]))
	}
}

// sources is the code of all packages below root without their tests.
func sources(c *qt.C, root string) string {
	var all strings.Builder
	c.Assert(filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			all.WriteString(read(c, path))
		}
		return err
	}), qt.IsNil)
	return all.String()
}

// TestOperatingCommands runs the marked commands of OPERATIONS.md in their order.
func TestOperatingCommands(t *testing.T) {
	c := qt.New(t)
	page := read(c, "OPERATIONS.md")
	mesh, err := dev.Start(dev.Config{Nodes: 4, Log: logr.Discard(), Servers: []dev.Server{
		{Node: 0, Mesh: "ahnenbach", Service: "archive"}, {Node: 1, Mesh: "ahnenbach", Service: "archive"},
	}})
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(mesh.Stop(), qt.IsNil) }()
	c.Chdir(c.TempDir())
	writeManifests(c)
	awaitFleet(c, mesh)
	ran := 0
	for _, block := range devBlock.FindAllStringSubmatch(page, -1) {
		for line := range strings.Lines(block[1]) {
			runLine(c, mesh, strings.TrimSpace(line))
			ran++
		}
	}
	c.Assert(ran > 5, qt.IsTrue)
}

func writeManifests(c *qt.C) {
	v1 := string(examples.Ahnenbach)
	v2 := strings.Replace(v1, "\nversion: 1 ", "\nversion: 2 ", 1)
	other := strings.Replace(v2, "timeout: 1h", "timeout: 2h", 1)
	for name, text := range map[string]string{"v1.yaml": v1, "v2.yaml": v2, "other.yaml": other} {
		c.Assert(os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	}
}

// awaitFleet waits until the daemons have found each other.
func awaitFleet(c *qt.C, mesh *dev.Mesh) {
	end := time.Now().Add(patience)
	for _, n := range mesh.Nodes {
		client := operator.Client{Addr: n.Operator, HTTP: http.DefaultClient}
		for {
			fleet, err := client.Fleet(context.Background(), false)
			if err == nil && fleet.Daemons == len(mesh.Nodes) {
				break
			}
			if time.Now().After(end) {
				c.Fatalf("%s knows %d daemons (%v)", n.Name, fleet.Daemons, err)
			}
			time.Sleep(100 * time.Millisecond) // below the operator API's rate
		}
	}
}

func runLine(c *qt.C, mesh *dev.Mesh, line string) {
	want := "0"
	if m := exitMark.FindStringSubmatch(line); m != nil {
		want, line = m[1], exitMark.ReplaceAllString(line, "")
	}
	line = operatorOf.ReplaceAllStringFunc(line, func(addr string) string {
		n, _ := strconv.Atoi(operatorOf.FindStringSubmatch(addr)[1])
		return mesh.Nodes[n-1].Operator
	})
	words := strings.Fields(line)
	c.Assert(words[0], qt.Equals, "daisygate")
	var out bytes.Buffer
	code := cli.Main(words[1:], &out, &out, nil)
	c.Check(fmt.Sprint(code), qt.Equals, want, qt.Commentf("%s\n%s", line, out.String()))
}

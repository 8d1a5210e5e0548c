package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
)

// manifestAt returns the example manifest with another version number. mark distinguishes
// different contents of one version.
func manifestAt(c *qt.C, version int, mark string) []byte {
	raw, err := os.ReadFile("../../examples/ahnenbach.yaml")
	c.Assert(err, qt.IsNil)
	text := strings.Replace(string(raw), "\nversion: 1 ", fmt.Sprintf("\nversion: %d ", version), 1)
	c.Assert(version == 1 || text != string(raw), qt.IsTrue)
	return []byte(strings.Replace(text, "path: /records\n", "path: /records"+mark+"\n", 1))
}

func (cl *cluster) submit(n *node, raw []byte) (source.Answer, error) {
	client := operator.Client{Addr: n.operator, HTTP: &http.Client{Timeout: eventTimeout}}
	return client.Submit(context.Background(), raw)
}

// accept submits a manifest until it is accepted. Submitting again is safe.
func (cl *cluster) accept(n *node, raw []byte) {
	cl.eventually("acceptance through "+n.name, func() error {
		_, err := cl.submit(n, raw)
		return err
	})
}

// waitInForce waits until the given nodes have a fleet version of at least version in force.
func (cl *cluster) waitInForce(version uint64, nodes ...*node) {
	for _, n := range nodes {
		cl.eventually(fmt.Sprintf("version %d at %s", version, n.name), func() error {
			status, err := cl.status(n)
			if err != nil {
				return err
			}
			if status.Mesh.Version < version {
				return errors.Newf("version %d", status.Mesh.Version)
			}
			return nil
		})
	}
}

func (cl *cluster) leader() *node {
	var leading *node
	cl.eventually("a leader", func() error {
		for _, n := range cl.nodes {
			status, err := cl.status(n)
			if err == nil && status.Source != nil && status.Source.Role == "leader" {
				leading = n
				return nil
			}
		}
		return errors.New("no source is leader")
	})
	return leading
}

func without(nodes []*node, excluded *node) []*node {
	var rest []*node
	for _, n := range nodes {
		if n != excluded {
			rest = append(rest, n)
		}
	}
	return rest
}

// TestFrozenLeader freezes the leading source. The other sources must accept and distribute
// further versions; when the old leader resumes, it must catch up and not revert any of them.
func TestFrozenLeader(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 4)
	cl.accept(cl.nodes[3], manifestAt(c, 1, ""))
	cl.waitInForce(1, cl.nodes...)
	frozen := cl.leader()
	c.Assert(frozen.process.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	rest := without(cl.nodes, frozen)
	for version := 2; version <= 4; version++ {
		cl.accept(rest[0], manifestAt(c, version, ""))
	}
	cl.waitInForce(4, rest...)
	c.Assert(frozen.process.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	cl.waitInForce(4, frozen)
	cl.accept(frozen, manifestAt(c, 5, ""))
	cl.waitInForce(5, cl.nodes...)
}

// TestLostDiskThenSecondLoss deletes the data folder of one source, waits for its repair and then
// kills another source permanently. No accepted manifest may be lost.
func TestLostDiskThenSecondLoss(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3)
	const accepted = 20
	for version := 1; version <= accepted; version++ {
		cl.accept(cl.nodes[0], manifestAt(c, version, ""))
	}
	lost := cl.leader()
	lost.process.kill()
	c.Assert(os.RemoveAll(lost.dir), qt.IsNil)
	cl.start(lost)
	cl.eventually("repair", func() error {
		status, err := cl.status(lost)
		if err != nil {
			return err
		}
		if status.Source.Repair.State != replica.RepairDone {
			return errors.Newf("repair %+v", status.Source.Repair)
		}
		return nil
	})
	second := without(cl.nodes, lost)[0]
	second.process.kill()
	cl.accept(lost, manifestAt(c, accepted+1, ""))
	client := operator.Client{Addr: lost.operator, HTTP: http.DefaultClient}
	history, err := client.History(context.Background(), source.HistoryRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(history, qt.HasLen, accepted+1)
	for i, a := range history {
		c.Assert(a.Version, qt.Equals, uint64(i+1))
	}
}

// TestOperatorsRace submits different manifests with the same version number through different
// daemons at the same time. One must win, the others must get VersionConflict with the winner,
// and a resend of the winner must get its first answer.
func TestOperatorsRace(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 4)
	cl.accept(cl.nodes[0], manifestAt(c, 1, ""))
	answers := make([]source.Answer, len(cl.nodes))
	contents := make([][]byte, len(cl.nodes))
	errs := make([]error, len(cl.nodes))
	var wait sync.WaitGroup
	for i, n := range cl.nodes {
		contents[i] = manifestAt(c, 2, fmt.Sprintf("-of-%d", i))
		wait.Go(func() {
			answers[i], errs[i] = cl.submit(n, contents[i])
		})
	}
	wait.Wait()
	var winners []int
	for i, a := range answers {
		if errs[i] == nil {
			winners = append(winners, i)
			continue
		}
		var refused *result.Error
		c.Assert(errors.As(errs[i], &refused), qt.IsTrue)
		c.Check(refused.Code, qt.Equals, result.VersionConflict)
		c.Check(a.Winner.Version, qt.Equals, uint64(2))
	}
	c.Assert(winners, qt.HasLen, 1)
	for _, n := range cl.nodes {
		again, err := cl.submit(n, contents[winners[0]])
		c.Assert(err, qt.IsNil)
		c.Assert(again.Code, qt.Equals, result.AlreadyAccepted)
		c.Assert(again.Fleet, qt.Equals, uint64(2))
	}
	cl.waitInForce(2, cl.nodes...)
}

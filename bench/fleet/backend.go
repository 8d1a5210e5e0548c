package fleet

import (
	"bufio"
	"fmt"
	"os/exec"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/settings"
)

// Backend is one stand-in backend server in a process of its own.
type Backend struct {
	// Addr is where it listens.
	Addr string
	// Member is the daemon beside it.
	Member int
	mu     sync.Mutex
	cmd    *exec.Cmd
}

// StartBackend starts a stand-in beside a daemon.
func StartBackend(program string, beside settings.Settings, member int, service string, slots, connections int) (*Backend, error) {
	cmd := exec.Command(program, "--announce", beside.Listen.Announce, "--mesh", MeshName, "--service", service,
		"--slots", fmt.Sprint(slots), "--connections", fmt.Sprint(connections))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "backend's output")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start backend")
	}
	b := &Backend{Member: member, cmd: cmd}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Kill()
		return nil, errors.Wrap(err, "backend's address")
	}
	b.Addr = strings.TrimSpace(line)
	return b, nil
}

// Kill ends the process at once (SIGKILL).
func (b *Backend) Kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return
	}
	_ = b.cmd.Process.Kill()
	_ = b.cmd.Wait()
	b.cmd = nil
}

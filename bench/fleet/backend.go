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

// Backend is one stand-in backend server in its own process.
type Backend struct {
	// Addr is the address that it listens on.
	Addr string
	// Member is its local daemon.
	Member int
	mu     sync.Mutex
	cmd    *exec.Cmd
}

// StartBackend starts a stand-in server that announces itself to a daemon.
func StartBackend(program string, daemon settings.Settings, member int, service string, slots, connections int) (*Backend, error) {
	cmd := exec.Command(program, "--announce", daemon.Listen.Announce, "--mesh", MeshName, "--service", service,
		"--slots", fmt.Sprint(slots), "--connections", fmt.Sprint(connections))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open stdout of backend")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start backend")
	}
	b := &Backend{Member: member, cmd: cmd}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Kill()
		return nil, errors.Wrap(err, "read address of backend")
	}
	b.Addr = strings.TrimSpace(line)
	return b, nil
}

// Kill ends the process with SIGKILL.
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

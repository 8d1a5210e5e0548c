package fleet

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	statusTimeout = time.Second
	// versionPollInterval is the interval at which Version queries a process. The operator API admits 50
	// requests a second.
	versionPollInterval = 25 * time.Millisecond
	filePerm            = 0o600
)

// The packages of the programs that run as processes, relative to the root of the module.
const (
	daemonPackage  = "./cmd/daisygate"
	backendPackage = "./bench/backend"
)

// Programs are the paths of the built programs.
type Programs struct {
	Daemon, Backend string
}

// Build builds the programs into dir. The working directory must be in the module.
func Build(dir string) (Programs, error) {
	p := Programs{Daemon: filepath.Join(dir, "daisygate"), Backend: filepath.Join(dir, "backend")}
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return p, errors.Wrap(err, "find module root")
	}
	for _, b := range []struct{ out, pkg string }{{p.Daemon, daemonPackage}, {p.Backend, backendPackage}} {
		cmd := exec.Command("go", "build", "-o", b.out, b.pkg)
		cmd.Dir = string(root[:len(root)-1])
		if out, err := cmd.CombinedOutput(); err != nil {
			return p, errors.Wrapf(err, "build %s: %s", b.pkg, out)
		}
	}
	return p, nil
}

// Processes is a fleet with a process for each daemon.
type Processes struct {
	program   string
	dir       string
	nodes     []settings.Settings
	members   []*processMember
	submitter *submitter
	http      *http.Client
}

type processMember struct {
	mu  sync.Mutex
	cmd *exec.Cmd
	// previous is the usage of the daemon before its restarts, as of the last status query.
	previous Usage
	// version is the version reported at askedAt.
	version uint64
	askedAt time.Time
}

// NewProcesses starts a fleet of processes of the given program.
func NewProcesses(o Options, program string) (*Processes, error) {
	nodes, err := layout(o)
	if err != nil {
		return nil, err
	}
	return startProcesses(program, o.Dir, nodes, newSubmitter(nodes))
}

func startProcesses(program, dir string, nodes []settings.Settings, submitter *submitter) (*Processes, error) {
	p := &Processes{
		program: program, dir: dir, nodes: nodes, submitter: submitter,
		http: &http.Client{Timeout: statusTimeout},
	}
	for range nodes {
		p.members = append(p.members, &processMember{})
	}
	for i := range nodes {
		if err := p.start(i); err != nil {
			p.Close()
			return nil, err
		}
	}
	return p, nil
}

func (p *Processes) start(i int) error {
	raw, err := yaml.Marshal(p.nodes[i])
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(p.dir, p.nodes[i].Node+".yaml")
	if err := os.WriteFile(path, raw, filePerm); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.nodes[i].Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	closeReserved(p.nodes[i].Listen)
	cmd := exec.Command(p.program, "serve", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	p.members[i].cmd = cmd
	return nil
}

// Kill ends a member with SIGKILL.
func (p *Processes) Kill(member int) {
	m := p.members[member]
	m.mu.Lock()
	defer m.mu.Unlock()
	p.kill(m)
}

func (p *Processes) kill(m *processMember) {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	m.cmd = nil
}

// Start starts a member that was killed.
func (p *Processes) Start(member int) error {
	m := p.members[member]
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.start(member)
}

// Name implements System.
func (p *Processes) Name() string { return "daisygate, a process each" }

// Size implements System.
func (p *Processes) Size() int { return len(p.members) }

// Sources implements System.
func (p *Processes) Sources() int { return sourceCount }

// SourceAddrs implements System.
func (p *Processes) SourceAddrs() []string { return sourceAddrs(p.nodes) }

// Submit implements System.
func (p *Processes) Submit(ctx context.Context, m *manifest.Manifest) (uint64, error) {
	return p.submitter.submit(ctx, m)
}

// Status queries the status of a member.
func (p *Processes) Status(member int) (operator.NodeStatus, error) {
	client := operator.Client{Addr: p.nodes[member].Listen.Operator, HTTP: p.http}
	return client.Status(context.Background())
}

// Version implements System. The result may be versionPollInterval old. Version must not be called for
// one member from several goroutines.
func (p *Processes) Version(member int) uint64 {
	m := p.members[member]
	if time.Since(m.askedAt) < versionPollInterval {
		return m.version
	}
	m.askedAt = time.Now()
	status, err := p.Status(member)
	if err != nil {
		m.version = 0
		return 0
	}
	m.version = status.Mesh.Version
	return m.version
}

// Usage implements System.
func (p *Processes) Usage(member int) Usage {
	u := p.members[member].previous
	if status, err := p.Status(member); err == nil {
		return u.Add(usageOf(status))
	}
	return u
}

// Restart implements System. It kills the process instead of a planned stop.
func (p *Processes) Restart(member int) error {
	m := p.members[member]
	m.mu.Lock()
	defer m.mu.Unlock()
	m.previous = p.Usage(member)
	m.askedAt = time.Time{}
	p.kill(m)
	return p.start(member)
}

// Pid returns the process ID of a member, or 0 if it is not running.
func (p *Processes) Pid(member int) int {
	m := p.members[member]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// Settings implements AnnounceTarget.
func (p *Processes) Settings(member int) settings.Settings { return p.nodes[member] }

// Close implements System.
func (p *Processes) Close() {
	var wait sync.WaitGroup
	for i := range p.members {
		wait.Go(func() { p.Kill(i) })
	}
	wait.Wait()
}

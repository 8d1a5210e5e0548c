package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// The ports of one instance, as offsets from the first port of the run.
const (
	portOutbound = iota
	portReady
	portControl
	portApplication
	portInternal
	portLast = portInternal + 15
)

// unexpectedExit is the fault kind of a process that exited without being stopped.
const unexpectedExit = "ended by itself"

// process is one process of the program under test.
type process struct {
	name, zone, service string
	// network and host are the address of the process before it was replaced.
	network string
	host    int
	// replacements is the number of times that the process was replaced by another one.
	replacements atomic.Int32
	isSource     bool
	dir          string
	mu           sync.Mutex
	cmd          *exec.Cmd
	started      bool
	// exited is closed when the current process has exited. shouldRun is set while it is
	// expected to run.
	exited    chan struct{}
	shouldRun bool
}

// cluster is the set of processes under test with their backend servers, callers and
// operators.
type cluster struct {
	o        Options
	random   *rand.Rand
	history  *History
	port     int
	sources  []*process
	daemons  []*process
	backends []*backend
	wait     sync.WaitGroup
	// stopReports ends the reports of the backend servers.
	stopReports context.CancelFunc
	// activeFaults holds the targets of active faults.
	activeFaults map[string]bool
	mu           sync.Mutex
	// No disk is wiped before wipeBlockedUntil, so that at most one source lacks its data.
	// repairTime is the time that the latest loss needs without other faults.
	wipeBlockedUntil time.Time
	repairTime       time.Duration
	operators        operatorState
}

func newCluster(o Options) (*cluster, error) {
	cl := &cluster{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 7)), activeFaults: map[string]bool{},
		history: &History{Services: map[string]string{}},
	}
	// Each run uses its own loopback network.
	network := fmt.Sprintf("127.%d.%d", 16+os.Getpid()/200%100, os.Getpid()%200)
	l, err := net.Listen("tcp", network+".1:0")
	if err != nil {
		return nil, errors.Wrap(err, "choose ports")
	}
	cl.port = min(l.Addr().(*net.TCPAddr).Port, 65535-portLast)
	_ = l.Close()
	for i := range sourceCount {
		cl.sources = append(cl.sources, &process{name: fmt.Sprintf("source%d", i+1), network: network, host: 1 + i, zone: fmt.Sprint("zone", i), isSource: true})
		cl.history.Sources = append(cl.history.Sources, cl.sources[i].name)
	}
	for i := range o.Daemons {
		service := serviceA
		if i%3 == 2 {
			service = serviceB
		}
		zones := 3
		if o.sharesLoad() {
			zones = 2 // each with servers of both services
		}
		p := &process{name: fmt.Sprintf("daemon%d", i+1), network: network, host: 101 + i, zone: fmt.Sprint("zone", i%zones), service: service}
		cl.daemons = append(cl.daemons, p)
		cl.history.Services[p.name] = service
	}
	return cl, nil
}

// processes returns the processes under test, the sources first.
func (cl *cluster) processes() []*process { return slices.Concat(cl.sources, cl.daemons) }

func (cl *cluster) addr(p *process, port int) string {
	return fmt.Sprintf("%s:%d", p.ip(), cl.port+port)
}

// settings returns the settings file that the platform would write.
func (cl *cluster) settings(p *process) string {
	var seeds []string
	for _, s := range cl.sources {
		seeds = append(seeds, cl.addr(s, portControl))
	}
	lines := []string{
		"node_name=" + p.name, "ip_address=" + p.ip(), "zone=" + p.zone, "region=loopback",
		"listen_addresses.control_address=" + cl.addr(p, portControl),
		fmt.Sprintf("internal_port_range=%d,%d", cl.port+portInternal, cl.port+portLast),
		"seed_addresses=" + strings.Join(seeds, ","), fmt.Sprint("first_start=", !p.started),
		"limits.memory_mb=200", "limits.fd_limit=2000", "limits.link_mbps=1000", "heartbeat_interval_ms=500",
		"fault_tolerance.machines=1", "bounds.grace_period_s=6", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", fmt.Sprint("bounds.budget_slack=", budgetSlack),
	}
	if p.isSource {
		lines = append(lines, "serves=control_plane", "data_directory="+filepath.Join(p.dir, "data"), "listen_addresses.ready="+cl.addr(p, portReady))
	} else {
		lines = append(lines, "serves=sidecar", "service="+p.service, "application_address="+cl.addr(p, portApplication),
			"listen_addresses.outbound="+cl.addr(p, portOutbound), "listen_addresses.ready="+cl.addr(p, portReady))
	}
	return strings.Join(lines, "\n") + "\n"
}

// settingsPath returns the path of the settings file of a process.
func (p *process) settingsPath() string { return filepath.Join(p.dir, "boot.conf") }

// writeSettings replaces the settings file at once, so that a process that is starting reads
// either the old or the new one.
func (cl *cluster) writeSettings(p *process) error {
	path := p.settingsPath()
	if err := os.WriteFile(path+".new", []byte(cl.settings(p)), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// startProcess starts a process that is not running.
func (cl *cluster) startProcess(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dir = filepath.Join(cl.o.Dir, p.name)
	if !p.started {
		// Remove the files of an earlier run in the same folder.
		if err := os.RemoveAll(p.dir); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	if err := cl.writeSettings(p); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(cl.o.Binary, "serve", "--platform")
	p.cmd.Env = append(os.Environ(), "DAISYGATE_SETTINGS="+p.settingsPath(), "DAISYGATE_FAULTY_DISK="+p.diskFaultPath())
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.started, p.shouldRun, p.exited = true, true, make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		p.mu.Lock()
		if p.shouldRun {
			record(cl.history, &cl.history.Faults, Fault{Kind: unexpectedExit, Target: p.name, At: time.Now(), Until: time.Now()})
		}
		p.mu.Unlock()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// signal sends a signal to a process; want tells whether it is expected to run afterwards.
func (p *process) signal(sig syscall.Signal, want bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shouldRun = want
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// waitExit waits for a process to exit and kills it after the grace time.
func (p *process) waitExit(grace time.Duration) {
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL, false)
		<-p.exited
	}
}

// start starts all processes and servers and waits until every daemon is ready.
func (cl *cluster) start(ctx context.Context) error {
	cl.history.Begin = time.Now()
	reports, stopReports := context.WithCancel(ctx)
	cl.stopReports = stopReports
	for i, p := range cl.processes() {
		if cl.o.replacesSources() && i == len(cl.sources)-1 {
			cl.sleep(ctx, lateStart)
		}
		if err := cl.startProcess(p); err != nil {
			return errors.Wrapf(err, "start %s", p.name)
		}
	}
	for _, p := range cl.daemons {
		proxy, err := newProxy(cl.addr(p, portApplication))
		if err != nil {
			return errors.Wrap(err, "start proxy")
		}
		b := &backend{history: cl.history, service: p.service, addr: cl.addr(p, portApplication), control: cl.addr(p, portControl), proxy: proxy, daemon: p.name, outbound: cl.addr(p, portOutbound), client: newClient(slots), statesStart: cl.o.statesStart()}
		b.crashUnderRequest = func() {
			cl.runFault(crashedByCaller, b.addr, crashDuration, false, b.crash, func() { cl.must(b.start()) })
		}
		cl.backends = append(cl.backends, b)
		if err := b.start(); err != nil {
			return errors.Wrap(err, "start backend server")
		}
		go b.reportLoop(reports)
	}
	if !cl.submitInitial(ctx) {
		return errors.Newf("the first configuration was not accepted; logs are in %s", cl.o.Dir)
	}
	return cl.waitReady(ctx)
}

// submitInitial submits two first configurations at the same time; one of them wins.
func (cl *cluster) submitInitial(ctx context.Context) bool {
	var wait sync.WaitGroup
	var first, second bool
	wait.Go(func() { first = cl.submitChange(ctx, 1, 0, serviceA) })
	wait.Go(func() { second = cl.submitChange(ctx, 2, 0, serviceA) })
	wait.Wait()
	return first || second
}

// waitReady waits until every daemon reports that it is ready.
func (cl *cluster) waitReady(ctx context.Context) error {
	for end := time.Now().Add(startupTimeout); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, p := range cl.daemons {
			resp, err := http.Get("http://" + cl.addr(p, portReady) + "/daisygate/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(cl.daemons) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Newf("%d of %d daemons are ready; logs are in %s", n, len(cl.daemons), cl.o.Dir)
		}
	}
}

func (cl *cluster) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stop ends everything that the run started.
func (cl *cluster) stop() {
	if cl.stopReports != nil {
		cl.stopReports()
	}
	for _, p := range cl.processes() {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT, false)
			p.signal(syscall.SIGKILL, false)
			<-p.exited
		}
	}
	for _, b := range cl.backends {
		b.crash()
	}
}

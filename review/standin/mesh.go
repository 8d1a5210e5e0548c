//go:build review

// Command standin runs the cases of review/ that are scripts: it starts the project's own
// program as separate processes with settings like those of a small deployment, and plays
// the platform, the operator, the servers and the consumers around them.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const program = "target/daisygate"

// Ports of a machine, as offsets from the first one.
const (
	portOutbound = iota
	portReady
	portControl
	portServer
	portInbound
	portInternal
	portsOfMachine = 24
)

// mesh is a small deployment on loopback addresses.
type mesh struct {
	dir      string
	network  string
	port     int
	began    time.Time
	machines []*machine
	version  int

	mu     sync.Mutex
	record *os.File
}

// machine is a machine with one process of the system.
type machine struct {
	m          *mesh
	name, ip   string
	zone       string
	core       bool
	service    string
	firstStart bool
	cmd        *exec.Cmd
	done       chan struct{}
	server     *server
}

func newMesh(record string) (*mesh, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	m := &mesh{dir: dir, record: f, began: time.Now()}
	for try := range 200 {
		at := os.Getpid() + try
		m.network = fmt.Sprintf("127.%d.%d", 60+at%60, 1+at/60%250)
		l, err := net.Listen("tcp", m.network+".1:0")
		if err != nil {
			return nil, errors.Join(err, os.RemoveAll(dir))
		}
		m.port = min(l.Addr().(*net.TCPAddr).Port, 65000-portsOfMachine)
		_ = l.Close()
		if m.free() {
			return m, nil
		}
	}
	return nil, errors.Join(errors.New("no loopback network with free ports"), os.RemoveAll(dir))
}

// maxMachines is the number of addresses that a mesh may use. metricsPort is the port at which the
// deploy file has each process serve its metrics.
const (
	maxMachines = 9
	metricsPort = 9464
)

// free reports whether the ports of all machines are free.
func (m *mesh) free() bool {
	ports := []int{metricsPort}
	for offset := range portsOfMachine {
		ports = append(ports, m.port+offset)
	}
	for host := range maxMachines {
		for _, port := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", m.network, 1+host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// note writes a line with the time since the start to the record.
func (m *mesh) note(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintf(m.record, "%9.4f  %s\n", time.Since(m.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (m *mesh) close() {
	for _, n := range m.machines {
		if n.server != nil {
			n.server.stop()
		}
		n.kill()
	}
	_ = os.RemoveAll(m.dir)
	_ = m.record.Close()
}

func (m *mesh) add(core bool, zone, service string) *machine {
	n := &machine{m: m, core: core, zone: zone, service: service, firstStart: true}
	n.ip = fmt.Sprintf("%s.%d", m.network, 1+len(m.machines))
	n.name = fmt.Sprintf("side-%d", 1+len(m.machines))
	if core {
		n.name = fmt.Sprintf("core-%d", 1+len(m.machines))
	}
	m.machines = append(m.machines, n)
	return n
}

func (m *mesh) cores() (cores []*machine) {
	for _, n := range m.machines {
		if n.core {
			cores = append(cores, n)
		}
	}
	return cores
}

func (m *mesh) sides() (sides []*machine) {
	for _, n := range m.machines {
		if !n.core {
			sides = append(sides, n)
		}
	}
	return sides
}

func (n *machine) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, n.m.port+port) }

func (n *machine) settings() string {
	var seeds []string
	for _, c := range n.m.cores() {
		seeds = append(seeds, c.addr(portControl))
	}
	lines := []string{
		"node_name=" + n.name, "ip_address=" + n.ip, "zone=" + n.zone, "region=r",
		"listen_addresses.ready=" + n.addr(portReady), "listen_addresses.control_address=" + n.addr(portControl),
		fmt.Sprintf("internal_port_range=%d,%d", n.m.port+portInternal, n.m.port+portInternal+15),
		"seed_addresses=" + strings.Join(seeds, ","), fmt.Sprint("first_start=", n.firstStart),
		"limits.cpu_share=0.32", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.fd_limit=4100", "limits.link_mbps=1000.0",
		"heartbeat_interval_ms=1500", "contracts=base,drain,config,cost,retry,recover",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_period_s=6", "bounds.loss_slack_ms=200", "bounds.config_propagation_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.outer_bound_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
		"bounds.budget_slack=58", "bounds.recovery_s=15",
	}
	if n.core {
		lines = append(lines, "role=source", "machine_class=core", "serves=control_plane", "data_directory="+filepath.Join(n.m.dir, n.name), "counts_toward_tolerance=true")
	} else {
		lines = append(lines, "role=daemon", "machine_class=sidecar", "serves=sidecar", "listen_addresses.outbound="+n.addr(portOutbound), "listen_addresses.inbound="+n.addr(portInbound),
			"service="+n.service, "application_address="+n.addr(portServer))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (n *machine) settingsPath() string { return filepath.Join(n.m.dir, n.name+".conf") }

func (n *machine) writeSettings() error {
	return os.WriteFile(n.settingsPath(), []byte(n.settings()), 0o600)
}

// start starts the machine's process.
func (n *machine) start() error {
	path := n.settingsPath()
	if err := n.writeSettings(); err != nil {
		return err
	}
	if n.core {
		if err := os.MkdirAll(filepath.Join(n.m.dir, n.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(n.m.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.firstStart = false
	n.cmd = exec.Command(program, "serve", "--platform")
	n.cmd.Env = append(os.Environ(), "DAISYGATE_SETTINGS="+path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.m.note("%s: process %d started", n.name, n.cmd.Process.Pid)
	cmd, done := n.cmd, make(chan struct{})
	n.done = done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (n *machine) signal(s syscall.Signal) {
	n.m.note("%s: %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (n *machine) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.done
}

func (n *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.addr(portReady) + "/daisygate/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// control sends a call to the control address; 0 is no response.
func (n *machine) control(call string, body []byte, ifMatch string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.addr(portControl)+"/daisygate/rpc?call="+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, raw
}

// eventually waits until condition holds.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// replace sends a configuration until it is acknowledged.
func (m *mesh) replace(limit time.Duration, raw []byte, base, version int) bool {
	ifMatch := "0"
	if base > 0 {
		ifMatch = fmt.Sprintf("r%d", base)
	}
	turn := 0
	ok := eventually(limit, func() bool {
		n := m.cores()[turn%len(m.cores())]
		turn++
		status, _ := n.control("configuration.replace", raw, ifMatch)
		m.note("operator: r%d on %s to %s: %d", version, ifMatch, n.name, status)
		return status == http.StatusOK
	})
	if ok {
		m.version = version
	}
	return ok
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	timeout, target     int
	attempts            int
}

func configuration(version int, services []string, routes []route) []byte {
	type object = map[string]any
	var list, paths []object
	for _, s := range services {
		list = append(list, object{"name": s, "health_check_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false})
	}
	for _, r := range routes {
		paths = append(paths, object{
			"name": r.name, "path_prefix": "/" + r.name + "/", "kind": r.kind, "timeout_ms": r.timeout, "target_latency_ms": r.target,
			"priority": 1, "service": r.service, "max_attempts": max(r.attempts, 2),
		})
	}
	raw, _ := json.Marshal(object{
		"version": fmt.Sprintf("r%d", version), "services": list,
		"limits":        object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"virtual_hosts": []object{{"host": "mesh.example", "route_paths": paths}},
	})
	return raw
}

// ids counts the requests; the first id is drawn so that those of two runs differ.
var ids atomic.Uint64

func init() { ids.Store(uint64(time.Now().UnixNano()) << 20) }

func nextID() string { return fmt.Sprintf("%016x", ids.Add(1)) }

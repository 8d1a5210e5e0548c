package main

import (
	"bytes"
	"encoding/json"
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

// record writes what a case sends, gets and runs to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	abandon()
}

// tempFolder is the temporary folder of the run, "" before there is one.
var tempFolder string

// abandon ends all processes and the case, which couldn't run.
func abandon() {
	for _, m := range allMachines {
		m.kill()
	}
	if tempFolder != "" {
		_ = os.RemoveAll(tempFolder)
	}
	os.Exit(exitCannotRun)
}

// allMachines are the machines whose processes must be ended before the case ends.
var allMachines []*machine

// machine runs one process of the system.
type machine struct {
	name, class, ip, dir string
	settings             string
	rec                  *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	done    chan struct{}
	// ends counts the ends of the process that the case did not cause.
	ends   atomic.Int32
	starts int
}

// mesh is a small deployment on loopback addresses.
type mesh struct {
	rec   *record
	dir   string
	cores []*machine
	sides []*machine
	ports ports
	// firstStart is set until all processes have been started once.
	firstStart bool
	options    options
}

type ports struct{ internal, inbound, outbound, ready, control, app int }

// options are the settings that a case chooses; the rest are those of the site file of ahnenbach-mesh.
type options struct {
	memoryMB  int
	services  []string // the service of each sidecar machine
	contracts string
	extra     string
}

func newMesh(rec *record, o options) *mesh {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	if o.memoryMB == 0 {
		o.memoryMB = 284
	}
	if o.contracts == "" {
		o.contracts = "base,drain,config,cost,retry,recover"
	}
	m := &mesh{rec: rec, dir: dir, firstStart: true, options: o}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	tempFolder = dir
	// An own part of 127.0.0.0/8 for each run, in which the ports are free on each address.
	address := func(n int) string { return "" }
	found := false
	for try := 0; try < 250 && !found; try++ {
		part := 1 + (os.Getpid()+try)%250
		address = func(n int) string { return fmt.Sprintf("127.77.%d.%d", part, n) }
		var ips []string
		for i := range 3 {
			ips = append(ips, address(10+i))
		}
		for i := range o.services {
			ips = append(ips, address(30+i))
		}
		m.ports, found = freePorts(ips)
	}
	if !found {
		cannotRun("no free ports")
	}
	for i := range 3 {
		m.cores = append(m.cores, &machine{name: "core-" + zones[i] + "-1", class: "core", ip: address(10 + i), rec: rec})
	}
	for i := range o.services {
		m.sides = append(m.sides, &machine{name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), class: "sidecar", ip: address(30 + i), rec: rec})
	}
	for i, c := range append(append([]*machine{}, m.cores...), m.sides...) {
		c.dir = filepath.Join(dir, c.name)
		if err := os.MkdirAll(filepath.Join(c.dir, "data"), 0o755); err != nil {
			cannotRun("%v", err)
		}
		c.settings = filepath.Join(c.dir, "boot.conf")
		_ = i
	}
	allMachines = append(append([]*machine{}, m.cores...), m.sides...)
	return m
}

// metricsPort is the port of the metrics, as the deploy file says.
const metricsPort = 9464

// portFree reports whether a port is free on all addresses.
func portFree(ips []string, port int) bool {
	for _, ip := range ips {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// freePorts returns ports that are free on all addresses, and reports whether there are enough.
func freePorts(ips []string) (p ports, found bool) {
	if !portFree(ips, metricsPort) {
		return p, false
	}
	var list []int
	for port := 20000 + os.Getpid()%1000*10; port < 32000 && len(list) < 5; port++ {
		if portFree(ips, port) {
			list = append(list, port)
		}
	}
	if len(list) < 5 {
		return p, false
	}
	p = ports{inbound: list[0], outbound: list[1], ready: list[2], control: list[3], app: list[4]}
	for first := 13000; first < 19000; first += 16 {
		free := true
		for port := first; port < first+16 && free; port++ {
			free = portFree(ips, port)
		}
		if free {
			p.internal = first
			return p, true
		}
	}
	return p, false
}

func (m *mesh) writeSettings(c *machine, side int) {
	var b strings.Builder
	set := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	var seeds []string
	for _, core := range m.cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", core.ip, m.ports.control))
	}
	set("node_name=%s", c.name)
	set("machine_class=%s", c.class)
	set("ip_address=%s", c.ip)
	zone := strings.Join(strings.Split(c.name, "-")[1:3], "-")
	set("zone=%s", zone)
	set("region=region-1")
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		set("zones.%s=region-1", z)
	}
	set("listen_addresses.control_address=%s:%d", c.ip, m.ports.control)
	set("internal_port_range=%d,%d", m.ports.internal, m.ports.internal+15)
	set("seed_addresses=%s", strings.Join(seeds, ","))
	set("first_start=%t", m.firstStart)
	set("counts_toward_tolerance=%t", c.class == "core")
	set("limits.cpu_cores=1")
	set("limits.fd_limit=4100")
	set("discovery=local")
	set("entry=local")
	set("heartbeat_interval_ms=1500")
	set("contracts=%s", m.options.contracts)
	set("fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0")
	set("bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_timeout_ms=4000\nbounds.catch_up_s=4")
	set("bounds.drain_ms=2000\nbounds.grace_period_s=6\nbounds.loss_slack_ms=200\nbounds.config_propagation_ms=2000")
	set("bounds.rollback_slack_ms=250\nbounds.outer_bound_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10")
	set("bounds.budget_slack=58\nbounds.recovery_s=15")
	if c.class == "core" {
		set("role=source\nserves=control_plane\nlimits.cpu_share=0.12\nlimits.memory_mb=280\nlimits.link_mbps=170.0\nlimits.disk_mb=256")
		set("data_directory=%s", filepath.Join(c.dir, "data"))
	} else {
		set("role=daemon\nserves=sidecar\nlimits.cpu_share=0.32\nlimits.memory_mb=%d\nlimits.link_mbps=1000.0\nlimits.disk_mb=0", m.options.memoryMB)
		set("listen_addresses.inbound=%s:%d", c.ip, m.ports.inbound)
		set("listen_addresses.outbound=%s:%d", c.ip, m.ports.outbound)
		set("listen_addresses.ready=%s:%d", c.ip, m.ports.ready)
		set("application_address=%s:%d", c.ip, m.ports.app)
		set("service=%s", m.options.services[side])
	}
	if m.options.extra != "" {
		set("%s", m.options.extra)
	}
	if err := os.WriteFile(c.settings, []byte(b.String()), 0o644); err != nil {
		cannotRun("settings: %v", err)
	}
}

// startAll starts all processes for the first time.
func (m *mesh) startAll() {
	for _, c := range m.cores {
		m.writeSettings(c, 0)
		c.start()
	}
	for i, c := range m.sides {
		m.writeSettings(c, i)
		c.start()
	}
}

// program is the command of deploy/system.toml.
var program = []string{"target/daisygate", "serve", "--platform"}

func (c *machine) start() {
	log, err := os.OpenFile(filepath.Join(c.dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "LANG=C", "DAISYGATE_SETTINGS=" + c.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", c.name, err)
	}
	done := make(chan struct{})
	c.mu.Lock()
	c.cmd, c.done, c.stopped = cmd, done, false
	c.starts++
	c.mu.Unlock()
	c.rec.line("machine %s: process %d starts", c.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		c.mu.Lock()
		wanted := c.stopped
		c.mu.Unlock()
		if !wanted {
			c.ends.Add(1)
			c.rec.line("machine %s: process %d ENDED BY ITSELF: %v", c.name, cmd.Process.Pid, err)
			c.rec.line("its last words: %s", c.lastWords())
		}
		close(done)
	}()
}

// lastWords returns what the runtime wrote when the process ended.
func (c *machine) lastWords() string {
	raw, _ := os.ReadFile(filepath.Join(c.dir, "log"))
	for _, mark := range []string{"fatal error:", "panic:", "SIGSEGV", "unexpected fault"} {
		if i := bytes.Index(raw, []byte(mark)); i >= 0 {
			raw = raw[i:min(len(raw), i+2500)]
			return string(raw)
		}
	}
	return string(raw[max(0, len(raw)-600):])
}

// signal sends a signal to the process.
func (c *machine) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil {
		_ = c.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (c *machine) kill() {
	c.mu.Lock()
	cmd, done := c.cmd, c.done
	c.stopped = true
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// end ends all processes.
func (m *mesh) end() {
	for _, c := range allMachines {
		c.kill()
	}
	_ = os.RemoveAll(m.dir)
}

// route is a route of the configuration.
type route struct {
	Name     string `json:"name"`
	Prefix   string `json:"path_prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

// configuration returns a configuration with one host.
func configuration(version string, maxBody int, services []string, routes []route) []byte {
	type service struct {
		Name   string `json:"name"`
		Health string `json:"health_check_path"`
		Limit  int    `json:"connection_limit"`
		Proto  string `json:"protocol"`
		TLS    bool   `json:"tls"`
	}
	seen := map[string]bool{}
	var list []service
	for _, s := range services {
		if !seen[s] {
			list = append(list, service{s, "/health", 110, "h1", false})
		}
		seen[s] = true
	}
	raw, _ := json.Marshal(map[string]any{
		"version": version, "services": list,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"virtual_hosts": []any{map[string]any{"host": "review.example", "route_paths": routes}},
	})
	return raw
}

// call makes a call at a control address.
func call(addr, name, of, ifMatch string, body []byte, timeout time.Duration) (int, []byte) {
	url := "http://" + addr + "/daisygate/rpc?call=" + name
	if of != "" {
		url += "&of=" + of
	}
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, raw
}

// control returns the control address of a machine.
func (m *mesh) control(c *machine) string { return fmt.Sprintf("%s:%d", c.ip, m.ports.control) }

// outbound returns the address for consumers of a machine.
func (m *mesh) outbound(c *machine) string { return fmt.Sprintf("%s:%d", c.ip, m.ports.outbound) }

// configure sends a configuration, to one core machine after the other, until it is acknowledged.
func (m *mesh) configure(base string, body []byte) {
	for end, i := time.Now().Add(20*time.Second), 0; time.Now().Before(end); i++ {
		status, _ := call(m.control(m.cores[i%len(m.cores)]), "configuration.replace", "", base, body, time.Second)
		if status == http.StatusOK {
			m.rec.line("operator: configuration on top of %s acknowledged", base)
			m.started()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	cannotRun("the configuration was not acknowledged")
}

// started writes the settings for later starts.
func (m *mesh) started() {
	m.firstStart = false
	for _, c := range m.cores {
		m.writeSettings(c, 0)
	}
	for i, c := range m.sides {
		m.writeSettings(c, i)
	}
}

// awaitReady waits until all sidecar machines are ready.
func (m *mesh) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, c := range m.sides {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/daisygate/readiness", c.ip, m.ports.ready))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(m.sides) {
			m.rec.line("all machines are ready")
			return
		}
	}
	cannotRun("the machines are not ready")
}

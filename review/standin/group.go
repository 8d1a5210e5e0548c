//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// startSpread is how much later the last machine starts at the first start.
	startSpread = 250 * time.Millisecond
	// firstStarts is how many deployments are started at most until one has the order of events
	// that the case is about.
	firstStarts = 12
	// catchUp is bounds.catch_up_s and a little.
	catchUp = 5 * time.Second
	// recovery is bounds.recovery_s and as much again.
	recovery = 30 * time.Second
)

// newSeeds is case 2: at the first start one core machine gets its vote from the log. Then another
// one is replaced, so that the settings name other seeds, and a final fault strikes: the core loses
// power, and one of its disks. The rule CONFIG is checked on what is read back.
func newSeeds(m *mesh, trouble bool) int {
	if !m.startLate() {
		m.note("no first start had the order of events")
		return 2
	}
	services := []string{"alpha"}
	routes := []route{{"read", "safe", "alpha", 1500, 600, 2}}
	if !m.replace(20*time.Second, configuration(1, services, routes), 0, 1) {
		return 2
	}
	time.Sleep(catchUp)
	first, replaced, late := m.machines[0], m.machines[1], m.machines[2]
	if trouble {
		m.note("%s is gone for good; another machine comes in its place", replaced.name)
		replaced.kill()
		m.machines = []*machine{first, late}
		next := m.add(true, replaced.zone, "")
		next.ip, next.name, next.firstStart = fmt.Sprintf("%s.9", m.network), "core-9", false
		if err := next.start(); err != nil {
			return 2
		}
		// The settings of all machines name the seeds of now; files may change without a signal.
		for _, n := range m.machines {
			if err := n.writeSettings(); err != nil {
				return 2
			}
		}
	}
	time.Sleep(2 * catchUp)
	routes[0].timeout++
	want := configuration(2, services, routes)
	if !m.replace(20*time.Second, want, 1, 2) {
		m.note("the configuration before the final fault was not acknowledged")
		return 2
	}
	if trouble {
		m.note("final fault: all core machines lose power, %s loses its disk", first.name)
		for _, n := range m.cores() {
			n.kill()
		}
		if err := os.RemoveAll(filepath.Join(m.dir, first.name)); err != nil {
			return 2
		}
		time.Sleep(time.Second)
		for _, n := range m.cores() {
			if err := n.start(); err != nil {
				return 2
			}
		}
	}
	began, turn := time.Now(), 0
	back := eventually(recovery, func() bool {
		n := m.cores()[turn%len(m.cores())]
		turn++
		status, raw := n.control("configuration.read", nil, "")
		m.note("operator: reads at %s: %d, %d bytes", n.name, status, len(raw))
		time.Sleep(200 * time.Millisecond)
		return status == http.StatusOK && bytes.Equal(raw, want)
	})
	m.note("read back: %t, after %.1f s", back, time.Since(began).Seconds())
	fmt.Printf("read back: %t, after %.1f s\n", back, time.Since(began).Seconds())
	if back {
		return 0
	}
	return 1
}

// startLate starts three core machines within startSpread until the last one gets its vote from the
// log: the other two have elected a leader before it has heard from both.
func (m *mesh) startLate() bool {
	for try := range firstStarts {
		m.machines = nil
		for _, zone := range []string{"a", "b", "c"} {
			m.add(true, zone, "")
		}
		for i, n := range m.machines {
			n.name = fmt.Sprintf("core-%d-%d", try+1, i+1)
			if i == 2 {
				time.Sleep(startSpread)
			}
			if err := n.start(); err != nil {
				return false
			}
		}
		time.Sleep(1500 * time.Millisecond)
		raw, _ := os.ReadFile(filepath.Join(m.dir, m.machines[2].name+".log"))
		voted := strings.Contains(string(raw), `"own_vote":"done"`)
		m.note("first start %d: %s got its vote from the log: %t", try+1, m.machines[2].name, voted)
		if voted {
			return true
		}
		for _, n := range m.machines {
			n.kill()
		}
	}
	return false
}

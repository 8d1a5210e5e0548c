//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	m, err := newMesh(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		m.close()
		os.Exit(2)
	}()
	code := 2
	switch os.Args[1] {
	case "stray-writer":
		code = strayWriter(m, os.Getenv("TROUBLE") != "0")
	case "new-seeds":
		code = newSeeds(m, os.Getenv("TROUBLE") != "0")
	case "extra-bytes":
		code = extraBytes(m, os.Getenv("TROUBLE") != "0")
	}
	m.close()
	os.Exit(code)
}

// begin starts the processes and servers and waits until requests are served.
func (m *mesh) begin(cores int, services []string, slots int, work time.Duration, routes []route) bool {
	return m.beginWith(cores, services, routes, func(n *machine, id string) error { return n.startServer(id, slots, work) })
}

// beginWith is begin with servers that startServer starts.
func (m *mesh) beginWith(cores int, services []string, routes []route, startServer func(n *machine, id string) error) bool {
	zones := []string{"a", "b", "c"}
	for i := range cores {
		m.add(true, zones[i%3], "")
	}
	for i, s := range services {
		m.add(false, zones[i%3], s)
	}
	for _, n := range m.machines {
		if err := n.start(); err != nil {
			m.note("%s: %v", n.name, err)
			return false
		}
	}
	for i, n := range m.sides() {
		if err := startServer(n, fmt.Sprintf("i-%08x", i+1)); err != nil {
			m.note("%s: %v", n.name, err)
			return false
		}
	}
	names := map[string]bool{}
	var distinct []string
	for _, s := range services {
		if !names[s] {
			names[s] = true
			distinct = append(distinct, s)
		}
	}
	if !m.replace(20*time.Second, configuration(1, distinct, routes), 0, 1) {
		return false
	}
	for _, n := range m.sides() {
		if !eventually(15*time.Second, n.ready) {
			m.note("%s isn't ready", n.name)
			return false
		}
	}
	time.Sleep(3 * time.Second)
	return true
}

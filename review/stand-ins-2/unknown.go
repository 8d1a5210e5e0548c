package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// The case "unknown": the operator sends a configuration in which a route names an unknown service beside a
// traffic_split.

// splitConfiguration is a configuration with one route, which has a traffic_split and, if it is not empty, a service.
func splitConfiguration(version, service string) []byte {
	named := ""
	if service != "" {
		named = fmt.Sprintf(`"service":%q,`, service)
	}
	return fmt.Appendf(nil, `{"version":%q,"services":[{"name":"alpha","health_check_path":"/health","connection_limit":110,"protocol":"h1","tls":false},{"name":"beta","health_check_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"virtual_hosts":[{"host":"review.example","route_paths":[{"name":"r-split","path_prefix":"/split/","kind":"safe","timeout_ms":1500,"target_latency_ms":600,"priority":2,%s"traffic_split":[{"service":"alpha","weight":90},{"service":"beta","weight":10}],"max_attempts":2}]}]}`, version, named)
}

func unknown(rec *record, trouble bool) int {
	m := newMesh(rec, options{services: []string{"alpha", "beta"}})
	defer m.end()
	m.startAll()
	m.configure("0", splitConfiguration("r1", ""))
	m.awaitReady()
	time.Sleep(4 * time.Second)
	service := ""
	if trouble {
		service = "gamma"
	}
	body := splitConfiguration("r3", service)
	rec.line("operator: sends r3 on top of r1: %s", body)
	status := 0
	for i := 0; i < 20 && (status == 0 || status >= 500 || status == http.StatusTooManyRequests); i++ {
		var answer []byte
		status, answer = call(m.control(m.cores[i%len(m.cores)]), "configuration.replace", "", "r1", body, time.Second)
		rec.line("operator: the answer of %s is %d %.300s", m.cores[i%len(m.cores)].name, status, answer)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	read, raw := call(m.control(m.cores[1]), "configuration.read", "", "", nil, time.Second)
	rec.line("operator: reads %d %s", read, raw)
	inForce := read == http.StatusOK && bytes.Equal(bytes.TrimSpace(raw), body)
	rec.line("r3 was answered %d and is in force: %t", status, inForce)
	switch {
	case trouble && (status == http.StatusOK || inForce):
		return exitBroken
	case status == 0 || status >= 500 || !trouble && !inForce:
		return exitCannotRun
	}
	return exitHeld
}

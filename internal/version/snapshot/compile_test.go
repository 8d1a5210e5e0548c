package snapshot

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestCompileAfterEqualsCompile checks, for random sequences of accepted manifests, that
// an incremental compilation gives the same results as a full one.
func TestCompileAfterEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := fleet.Empty()
		var previous *Snapshot
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			mesh := fmt.Sprintf("m%d", rapid.IntRange(0, 2).Draw(t, "mesh"))
			next, err := state.Accept(drawManifest(t, mesh, uint64(step+1)))
			noError(t, err)
			state = next
			full, err := Compile(state)
			noError(t, err)
			incremental, err := CompileAfter(previous, state)
			noError(t, err)
			if got, want := matchResults(incremental), matchResults(full); !slices.Equal(got, want) {
				t.Fatalf("incremental: %q\nfull: %q", got, want)
			}
			previous = incremental
		}
	})
}

func noError(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

func drawManifest(t *rapid.T, mesh string, version uint64) *manifest.Manifest {
	m := &manifest.Manifest{Mesh: mesh, Version: version, Hosts: []string{mesh + ".example"}}
	if rapid.IntRange(0, 3).Draw(t, "other hosts") == 0 {
		m.Hosts = []string{mesh + ".other", mesh + ".example"}
	}
	m.Limits.BodyBytes = int64(rapid.IntRange(0, 1).Draw(t, "limit"))
	for i := range rapid.IntRange(1, 2).Draw(t, "services") {
		m.Services = append(m.Services, manifest.Service{Name: fmt.Sprintf("s%d", i), Slots: rapid.IntRange(1, 3).Draw(t, "slots")})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "routes") {
		target := m.Services[rapid.IntRange(0, len(m.Services)-1).Draw(t, "target")].Name
		m.Routes = append(m.Routes, manifest.Route{Name: fmt.Sprintf("r%d", i), Path: fmt.Sprintf("/p%d", i), Service: target})
	}
	return m
}

// matchResults describes how a snapshot matches each host and path that drawManifest can
// generate.
func matchResults(s *Snapshot) []string {
	lines := []string{fmt.Sprintf("version %d hash %x services %d", s.Version, s.Hash, len(s.Services()))}
	for mesh := range 6 {
		for path := range 4 {
			host := fmt.Sprintf("m%d.%s", mesh%3, []string{"example", "other"}[mesh/3])
			r, err := s.Match("GET", host, fmt.Sprintf("/p%d/x", path))
			line := fmt.Sprintf("%s /p%d: none %v", host, path, err)
			if r != nil {
				line = fmt.Sprintf("%s /p%d: %s to %s with %d slots, %d bytes", host, path, r.Name, r.Targets[0].Service.Key, r.Targets[0].Service.Slots, r.Limits.BodyBytes)
			}
			lines = append(lines, line)
		}
	}
	return lines
}

// BenchmarkCompileAfter compiles a version in which one of 64 meshes, of 30 routes each,
// differs.
func BenchmarkCompileAfter(b *testing.B) {
	state := fleet.Empty()
	newManifest := func(mesh string, version uint64) *manifest.Manifest {
		m := &manifest.Manifest{Mesh: mesh, Version: version, Hosts: []string{mesh}, Services: []manifest.Service{{Name: "s"}}}
		for i := range 30 {
			m.Routes = append(m.Routes, manifest.Route{Name: fmt.Sprintf("r%d", i), Path: fmt.Sprintf("/p%d", i), Service: "s"})
		}
		return m
	}
	for i := range 64 {
		state, _ = state.Accept(newManifest(fmt.Sprintf("m%d", i), 1))
	}
	previous, err := Compile(state)
	qt.Assert(b, err, qt.IsNil)
	next, err := state.Accept(newManifest("m7", 2))
	qt.Assert(b, err, qt.IsNil)
	for _, mode := range []struct {
		name     string
		previous *Snapshot
	}{{"whole", nil}, {"after", previous}} {
		b.Run(mode.name, func(b *testing.B) {
			for b.Loop() {
				_, _ = CompileAfter(mode.previous, next)
			}
		})
	}
}

// BenchmarkCompileLimits compiles a version in which only the limits of a mesh differ, for
// several numbers of routes.
func BenchmarkCompileLimits(b *testing.B) {
	for _, routes := range []int{400, 1500, 4000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			m := &manifest.Manifest{Mesh: "m", Version: 1, Services: []manifest.Service{{Name: "s"}}}
			for i := range routes {
				m.Routes = append(m.Routes, manifest.Route{Name: fmt.Sprintf("r%d", i), Path: fmt.Sprintf("/p%d", i), Service: "s"})
			}
			state, err := fleet.Empty().Accept(m)
			qt.Assert(b, err, qt.IsNil)
			previous, err := Compile(state)
			qt.Assert(b, err, qt.IsNil)
			m.Version, m.Limits.IdleTimeout = 2, time.Minute
			state, err = state.Accept(m)
			qt.Assert(b, err, qt.IsNil)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := CompileAfter(previous, state); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCompileOneOf compiles a version in which one route of a mesh differs, for
// several numbers of routes.
func BenchmarkCompileOneOf(b *testing.B) {
	for _, routes := range []int{400, 4000, 16000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			m := &manifest.Manifest{Mesh: "m", Version: 1, Services: []manifest.Service{{Name: "s"}}}
			for i := range routes {
				m.Routes = append(m.Routes, manifest.Route{Name: fmt.Sprintf("r%d", i), Path: fmt.Sprintf("/p%d", i), Service: "s"})
			}
			state, err := fleet.Empty().Accept(m)
			if err != nil {
				b.Fatal(err)
			}
			previous, err := Compile(state)
			if err != nil {
				b.Fatal(err)
			}
			m.Version, m.Routes[routes/2].Path = 2, "/other"
			if state, err = state.Accept(m); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := CompileAfter(previous, state); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package fleet

import (
	"fmt"
	"time"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// MeshName is the mesh of the generated manifests.
const MeshName = "bench"

// Shape is the size of a generated manifest.
type Shape struct {
	Services, Routes int
}

// Manifest returns the manifest of a version. Consecutive versions differ in the timeout of one route.
func (s Shape) Manifest(version uint64) *manifest.Manifest {
	m := &manifest.Manifest{Mesh: MeshName, Version: version}
	for i := range s.Services {
		m.Services = append(m.Services, manifest.Service{
			Name: ServiceName(i), Allow: []string{"10.0.0.0/8", "127.0.0.0/8"}, Slots: 20, Connections: 110,
		})
	}
	for i := range s.Routes {
		m.Routes = append(m.Routes, manifest.Route{
			Name: fmt.Sprintf("route-%04d", i), Path: RoutePath(i), Methods: []string{"GET", "POST"},
			Service: ServiceName(i % s.Services), Timeout: s.timeout(i, version),
			Repeatable: true, Retries: manifest.DefaultRetries, Priority: manifest.DefaultPriority,
		})
	}
	return m
}

// timeout returns the timeout of a route, which increases by 1 ms each time a version changes the route.
func (s Shape) timeout(route int, version uint64) time.Duration {
	changes := (version + uint64(s.Routes-1-route)) / uint64(s.Routes)
	return manifest.DefaultTimeout + time.Duration(changes)*time.Millisecond
}

// ServiceName returns the name of a generated service.
func ServiceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// RoutePath returns the path prefix of a generated route.
func RoutePath(i int) string { return fmt.Sprintf("/api/%04d", i) }

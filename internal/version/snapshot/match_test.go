package snapshot

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

func compiled(tb testing.TB, hosts []string, routes ...manifest.Route) *Snapshot {
	s := &Snapshot{services: map[ServiceKey]*Service{}, hosts: map[string]*routeTable{}, meshes: map[string]*compiledMesh{}}
	m := &manifest.Manifest{Mesh: "m", Version: 1, Hosts: hosts, Services: []manifest.Service{{Name: "s"}}, Routes: routes}
	mesh, err := compileManifest(m)
	qt.Assert(tb, err, qt.IsNil)
	s.add(m.Mesh, mesh)
	return s
}

func route(name, path string, methods ...string) manifest.Route {
	return manifest.Route{Name: name, Path: path, Methods: methods, Service: "s"}
}

func TestMatch(t *testing.T) {
	c := qt.New(t)
	s := compiled(t, []string{"Hose.Example.", "2001:db8::1"},
		route("all", "/"), route("stock", "/stock"), route("stock-put", "/stock/item", "PUT"), route("dir", "/dir/"), route("sp", "/a b"))
	for _, v := range []struct{ method, host, path, want string }{
		{"GET", "hose.example", "/stock", "stock"},
		{"GET", "HOSE.example.:8080", "/stock/", "stock"},
		{"GET", "[2001:db8::1]:80", "/stock/1", "stock"},
		{"GET", "[2001:db8::1]", "/stocks", "all"},
		{"PUT", "hose.example", "/stock/item/7", "stock-put"},
		{"GET", "hose.example", "/stock/item/7", "stock"},
		{"GET", "hose.example", "/dir", "all"},
		{"GET", "hose.example", "/dir/x", "dir"},
		{"GET", "hose.example", "/st%6Fck/1", "stock"},
		{"GET", "hose.example", "/a%20b/c", "sp"},
		{"GET", "hose.example", "//stock", "all"},
		{"GET", "hose.example", "/stock/.hidden/...", "stock"},
		{"GET", "other", "/stock", ""},
		{"GET", "", "/stock", ""},
		{"GET", "hose.example", "/dir/../stock", "error"},
		{"GET", "hose.example", "/dir/%2e%2E/stock", "error"},
		{"GET", "hose.example", "/dir/.", "error"},
		{"GET", "hose.example", "/dir%2Fstock", "all"},
		{"GET", "hose.example", "/dir/a%2Fb", "dir"},
		{"GET", "hose.example", "/stock%2fitem%2f7", "all"},
		{"GET", "hose.example", "/dir/%2e%2e%2fstock", "error"},
		{"GET", "hose.example", `/dir\..\stock`, "error"},
		{"GET", "hose.example", "/dir/%zz", "dir"},
	} {
		got := ""
		r, err := s.Match(v.method, v.host, v.path)
		if err != nil {
			got = "error"
		} else if r != nil {
			got = r.Name
		}
		c.Check(got, qt.Equals, v.want, qt.Commentf("%s %s%s", v.method, v.host, v.path))
	}
}

func BenchmarkMatch2000(b *testing.B) {
	var routes []manifest.Route
	for i := range 2000 {
		routes = append(routes, route(fmt.Sprint(i), fmt.Sprintf("/area%d/service%d", i%50, i), "GET"))
	}
	s := compiled(b, nil, routes...)
	b.ReportAllocs()
	for b.Loop() {
		if r, _ := s.Match("GET", "mesh.example:8080", "/area1/service1/a/b"); r == nil {
			b.Fatal("no route")
		}
	}
}

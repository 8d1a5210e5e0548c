// Package examples tests that daisygate accepts the example manifests and settings.
package examples

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

func TestManifests(t *testing.T) {
	c := qt.New(t)
	for file, routes := range map[string]int{"ahnenbach.yaml": 4, "canary.yaml": 3, "ramdin.yaml": 8} {
		raw, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		m, err := manifest.Parse(raw)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", file))
		c.Assert(m.Mesh+".yaml", qt.Equals, file)
		c.Assert(m.Routes, qt.HasLen, routes)
	}
}

// TestMeshesTogether checks that all example meshes can be in force in one fleet, and that the
// hose specifications for breakdown crews have their own route, and with it their own priority.
func TestMeshesTogether(t *testing.T) {
	c := qt.New(t)
	state := fleet.Empty()
	for _, file := range []string{"ahnenbach.yaml", "canary.yaml", "ramdin.yaml"} {
		raw, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		m, err := manifest.Parse(raw)
		c.Assert(err, qt.IsNil)
		state, err = state.Accept(m)
		c.Assert(err, qt.IsNil)
	}
	compiled, err := snapshot.Compile(state)
	c.Assert(err, qt.IsNil)
	for request, want := range map[[2]string]string{
		{"GET", "/records/1850"}:                 "parish-records",
		{"POST", "/transfers"}:                   "plot-transfers",
		{"GET", "/specifications/breakdown/4SP"}: "hose-specifications-breakdown",
		{"GET", "/specifications/4SP"}:           "hose-specifications",
		{"POST", "/certificates"}:                "fitting-certificate-issue",
		{"GET", "/certificates/7"}:               "fitting-certificates",
	} {
		route, err := compiled.Match(request[0], "any.example.org", request[1])
		c.Assert(err, qt.IsNil)
		c.Assert(route, qt.IsNotNil, qt.Commentf("%v", request))
		c.Check(route.Name, qt.Equals, want)
	}
	route, err := compiled.Match("POST", "any.example.org", "/tree")
	c.Check(err, qt.IsNil)
	c.Check(route, qt.IsNil)
}

// TestFleets checks that the settings of each fleet are consistent: unique names and addresses,
// three failure domains, three sources in different domains, and seeds and members that refer to
// existing instances.
func TestFleets(t *testing.T) {
	c := qt.New(t)
	for folder, size := range map[string]int{"ahnenbach": 10, "ramdin": 12} {
		paths, err := filepath.Glob(filepath.Join("settings", folder, "*.yaml"))
		c.Assert(err, qt.IsNil)
		c.Assert(paths, qt.HasLen, size)
		peers, domains, sourceDomains := map[string]string{}, map[string]bool{}, map[string]bool{}
		var fleet []settings.Settings
		for _, path := range paths {
			set, err := settings.Load(path)
			c.Assert(err, qt.IsNil)
			c.Assert(set.Node+".yaml", qt.Equals, filepath.Base(path))
			c.Assert(peers[set.Listen.Peer], qt.Equals, "", qt.Commentf("%s", path))
			peers[set.Listen.Peer] = set.Node
			domains[set.Domain] = true
			if set.IsSource() {
				sourceDomains[set.Domain] = true
			}
			fleet = append(fleet, set)
		}
		c.Assert(domains, qt.HasLen, 3)
		c.Assert(sourceDomains, qt.HasLen, 3)
		for _, set := range fleet {
			c.Assert(set.Source, qt.DeepEquals, fleet[0].Source)
			c.Assert(set.Source.Members, qt.HasLen, 3)
			for _, m := range set.Source.Members {
				c.Assert(peers[m.Peer], qt.Equals, m.Node)
			}
			for _, seed := range set.Seeds {
				c.Assert(peers[seed], qt.Not(qt.Equals), "")
			}
		}
	}
}

// TestAllKeys checks that settings/all-keys.yaml contains every key and that the defaults it
// documents match the code.
func TestAllKeys(t *testing.T) {
	c := qt.New(t)
	raw, err := os.ReadFile("settings/all-keys.yaml")
	c.Assert(err, qt.IsNil)
	set, err := settings.Parse(raw)
	c.Assert(err, qt.IsNil)
	want := settings.Defaults()
	c.Assert(set.Log, qt.DeepEquals, want.Log)
	c.Assert(set.Trace, qt.DeepEquals, want.Trace)
	c.Assert(set.Limits, qt.DeepEquals, want.Limits)
	c.Assert(set.Stop, qt.DeepEquals, want.Stop)
	for _, key := range keys(reflect.TypeFor[settings.Settings]()) {
		c.Assert(strings.Contains(string(raw), key+":"), qt.IsTrue, qt.Commentf("key %s", key))
	}
}

func keys(t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		field := t.Field(i)
		list = append(list, field.Tag.Get("yaml"))
		kind := field.Type
		if kind.Kind() == reflect.Slice {
			kind = kind.Elem()
		}
		if kind.Kind() == reflect.Struct {
			list = append(list, keys(kind)...)
		}
	}
	return list
}

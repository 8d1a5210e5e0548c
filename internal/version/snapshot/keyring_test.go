package snapshot

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// organisationState returns a state with the given number of services.
func organisationState(c *qt.C, services int, organisations ...manifest.Organisation) *fleet.State {
	m := &manifest.Manifest{Mesh: "m", Version: 1, Organisations: organisations}
	for i := range services {
		m.Services = append(m.Services, manifest.Service{Name: fmt.Sprint("s", i)})
	}
	state, err := fleet.Empty().Accept(m)
	c.Assert(err, qt.IsNil)
	return state
}

func organisation(name string, keys ...string) manifest.Organisation {
	o := manifest.Organisation{Name: name, Priority: manifest.RoutePriority}
	for _, key := range keys {
		o.KeyDigests = append(o.KeyDigests, manifest.DigestKey(key).String())
	}
	return o
}

// TestNobodyHoldsTheEmptyKey guards against requests without a key that are accepted because a
// manifest lists the digest of the empty string.
func TestNobodyHoldsTheEmptyKey(t *testing.T) {
	c := qt.New(t)
	s, err := Compile(organisationState(c, 1, organisation("o", "", "k")))
	c.Assert(err, qt.IsNil)
	c.Check(s.OrganisationByKey("m", ""), qt.IsNil)
	c.Check(s.OrganisationByKey("m", "k").Name, qt.Equals, "o")
	c.Check(s.OrganisationByKey("other", "k"), qt.IsNil)
}

// TestKeyringIsReused checks that the keys are compiled again only if an organisation changed.
func TestKeyringIsReused(t *testing.T) {
	c := qt.New(t)
	first, err := Compile(organisationState(c, 1, organisation("a", "k1"), organisation("b", "k2")))
	c.Assert(err, qt.IsNil)
	same, err := CompileAfter(first, organisationState(c, 2, organisation("a", "k1"), organisation("b", "k2")))
	c.Assert(err, qt.IsNil)
	c.Check(same.meshes["m"].keyring, qt.Equals, first.meshes["m"].keyring)
	fewer, err := CompileAfter(first, organisationState(c, 2, organisation("a", "k1")))
	c.Assert(err, qt.IsNil)
	c.Check(fewer.OrganisationByKey("m", "k2"), qt.IsNil)
	c.Check(fewer.OrganisationByKey("m", "k1").Name, qt.Equals, "a")
}

// BenchmarkOrganisationByKey measures the lookup of a key among few and many.
func BenchmarkOrganisationByKey(b *testing.B) {
	for _, count := range []int{5, 50_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			k := newKeyring()
			for i := range count {
				if err := k.add(organisation(fmt.Sprint("o", i), fmt.Sprint("key", i)), nil); err != nil {
					b.Fatal(err)
				}
			}
			s := &Snapshot{meshes: map[string]*compiledMesh{"m": {keyring: k}}}
			for i := range b.N {
				if s.OrganisationByKey("m", fmt.Sprint("key", i%count)) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}

// TestWeightsFollowRates checks that an organisation without a rate weighs as much as the mean of those
// that have one, and that all weigh the same if none has.
func TestWeightsFollowRates(t *testing.T) {
	c := qt.New(t)
	small, large, unlimited := organisation("small", "k1"), organisation("large", "k2"), organisation("unlimited", "k3")
	s, err := Compile(organisationState(c, 1, small, large, unlimited))
	c.Assert(err, qt.IsNil)
	for _, name := range []string{"small", "large", "unlimited"} {
		c.Check(s.Organisation("m", name).Weight, qt.Equals, 1.0)
	}
	small.Rate, large.Rate = 10, 50
	s, err = Compile(organisationState(c, 1, small, large, unlimited))
	c.Assert(err, qt.IsNil)
	for name, want := range map[string]float64{"small": 10, "large": 50, "unlimited": 30} {
		c.Check(s.Organisation("m", name).Weight, qt.Equals, want)
	}
}

package manifest

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSharesLoad(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		loadSharing string
		services    int
		limited     bool
		want        bool
	}{
		{"", 1, false, false}, {"", 2, false, true}, {"", 3, false, true}, {LoadSharingAuto, 1, false, false},
		{LoadSharingAuto, 2, false, true}, {LoadSharingAuto, 2, true, false}, {LoadSharingAuto, 3, true, false}, {"", 3, true, false},
		{LoadSharingOn, 1, false, true}, {LoadSharingOn, 3, true, true}, {LoadSharingOff, 9, false, false},
	} {
		c.Check(SharesLoad(test.loadSharing, test.services, test.limited), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestLoadSharingIsValidated(t *testing.T) {
	c := qt.New(t)
	_, err := Parse([]byte("mesh: m\nversion: 1\nload_sharing: maybe\nservices:\n  - name: s\nroutes:\n  - {name: r, path: /, service: s}\n"))
	c.Check(err, qt.ErrorMatches, `3:15: load_sharing: want auto, on or off, got "maybe"`)
}

package storage

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestNewFoldersAreDurable holds that the name of each folder that is made is synced in
// the folder above it, the lowest first, and that nothing is synced for one that is there.
// The log was synced, and the folder that holds it was not: a loss of power in the first
// life of a source might have taken all that it had acknowledged.
func TestNewFoldersAreDurable(t *testing.T) {
	c := qt.New(t)
	root := c.TempDir()
	var synced []string
	record := func(dir string) error {
		synced = append(synced, dir)
		return nil
	}
	path := filepath.Join(root, "data", "source")
	c.Assert(makeDir(path, record), qt.IsNil)
	c.Check(synced, qt.DeepEquals, []string{filepath.Join(root, "data"), root})
	info, err := os.Stat(path)
	c.Assert(err, qt.IsNil)
	c.Check(info.IsDir(), qt.IsTrue)

	synced = nil
	c.Assert(makeDir(path, record), qt.IsNil)
	c.Check(synced, qt.HasLen, 0)

	blocked := filepath.Join(root, "file")
	c.Assert(os.WriteFile(blocked, nil, fileMode), qt.IsNil)
	c.Check(makeDir(filepath.Join(blocked, "source"), record), qt.IsNotNil)
}

package storage

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestNewFoldersAreDurable checks that makeDir syncs the parent of each new folder, the
// deepest first, and syncs nothing for existing folders. Before that, only the log was synced
// and not the parents of its folder: a power loss during the first run of a source could
// remove everything that the source had acknowledged.
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

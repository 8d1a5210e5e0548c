// Package docs holds the project's pages to the code.
package docs

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const pageOfRows = "PROOFS.md"

var (
	testName   = regexp.MustCompile("`(Test[A-Za-z0-9_]+)(?:/[^`]*)?`")
	testFunc   = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)
	goldenFile = regexp.MustCompile("`([^` ]*/testdata/[^` ]+)`")
	commitID   = regexp.MustCompile(`\b[0-9a-f]{7}\b`)
)

// TestProofsNameRealThings holds that every test and golden file named in
// PROOFS.md exists.
func TestProofsNameRealThings(t *testing.T) {
	c := qt.New(t)
	known := definedTests(c, "..")
	checkNamed(c, "test", testName, func(name string) bool { return known[name] })
	checkNamed(c, "golden file", goldenFile, func(path string) bool {
		_, err := os.Stat(filepath.Join("..", path))
		return err == nil
	})
}

// TestProofsNameRealCommits holds that every commit named in PROOFS.md exists. An
// archive of the files has no commits to look among.
func TestProofsNameRealCommits(t *testing.T) {
	if _, err := os.Stat("../.git"); os.IsNotExist(err) {
		t.Skip("no git directory: commits are not checked")
	}
	checkNamed(qt.New(t), "commit", commitID, func(id string) bool {
		return exec.Command("git", "cat-file", "-e", id+"^{commit}").Run() == nil
	})
}

// checkNamed checks that each thing of a kind on the page exists, and that there
// are some.
func checkNamed(c *qt.C, kind string, pattern *regexp.Regexp, exists func(string) bool) {
	page, err := os.ReadFile(pageOfRows)
	c.Assert(err, qt.IsNil)
	found := pattern.FindAllStringSubmatch(string(page), -1)
	c.Check(len(found) > 0, qt.IsTrue)
	for _, m := range found {
		c.Check(exists(m[len(m)-1]), qt.IsTrue, qt.Commentf("%s names the %s %s, which does not exist", pageOfRows, kind, m[0]))
	}
}

func definedTests(c *qt.C, root string) map[string]bool {
	known := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllStringSubmatch(string(raw), -1) {
			known[m[1]] = true
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return known
}

package storage

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// File is an open file that is appended to.
type File interface {
	io.Writer
	// Sync makes what was written durable.
	Sync() error
	Close() error
}

// Dir is a data folder. What Create and Rename do to names is durable only
// after Sync.
type Dir interface {
	// ReadFile returns a file's content, or an error that is os.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for appending.
	Create(name string) (File, error)
	// OpenAt opens a file for appending after its first size bytes; the rest
	// is cut.
	OpenAt(name string, size int64) (File, error)
	// Rename replaces a file by another.
	Rename(from, to string) error
	// Sync makes the names durable.
	Sync() error
	// Path names a file for people.
	Path(name string) string
}

// OSDir is a Dir in the file system.
type OSDir string

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// NewOSDir creates the folder if needed.
func NewOSDir(path string) (OSDir, error) {
	if err := makeDir(path, syncDir); err != nil {
		return "", errors.Wrap(err, "create data folder")
	}
	return OSDir(path), nil
}

// makeDir creates a folder with those above it that are missing, and syncs the folder
// that holds each new name: until then a loss of power may take the name away, and with
// it the synced files below.
func makeDir(path string, sync func(string) error) error {
	var parents []string
	for missing := filepath.Clean(path); ; missing = filepath.Dir(missing) {
		if _, err := os.Stat(missing); !errors.Is(err, os.ErrNotExist) {
			break
		}
		parents = append(parents, filepath.Dir(missing))
	}
	if err := os.MkdirAll(path, dirMode); err != nil {
		return err
	}
	for _, parent := range parents {
		if err := sync(parent); err != nil {
			return errors.Wrapf(err, "sync %s", parent)
		}
	}
	return nil
}

// syncDir makes the names in a folder durable.
func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// ReadFile implements Dir.
func (d OSDir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.Path(name)) }

// Create implements Dir.
func (d OSDir) Create(name string) (File, error) {
	return os.OpenFile(d.Path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// OpenAt implements Dir.
func (d OSDir) OpenAt(name string, size int64) (File, error) {
	file, err := os.OpenFile(d.Path(name), os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		return nil, errors.CombineErrors(err, file.Close())
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return nil, errors.CombineErrors(err, file.Close())
	}
	return file, nil
}

// Rename implements Dir.
func (d OSDir) Rename(from, to string) error { return os.Rename(d.Path(from), d.Path(to)) }

// Sync implements Dir.
func (d OSDir) Sync() error { return syncDir(string(d)) }

// Path implements Dir.
func (d OSDir) Path(name string) string { return filepath.Join(string(d), name) }

package storage

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// File is a file opened for appending.
type File interface {
	io.Writer
	// Sync makes all written data durable.
	Sync() error
	Close() error
}

// Dir is a data folder. File names created or changed by Create and Rename are durable
// only after Sync.
type Dir interface {
	// Prepare creates the folder if it does not exist. No file may be created or changed
	// before it has succeeded.
	Prepare() error
	// ReadFile returns the content of a file. The error is os.ErrNotExist if there is
	// no such file.
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for appending.
	Create(name string) (File, error)
	// Rename renames a file, and replaces an existing file of that name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes the file names durable.
	Sync() error
	// Path returns the path of a file, for use in messages.
	Path(name string) string
}

// WriteSynced creates a file with the given content and syncs it. After an error it removes the
// file, so that it does not take up space that other files need.
func WriteSynced(dir Dir, name string, content []byte) (File, error) {
	file, err := dir.Create(name)
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", name)
	}
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	if err != nil {
		err = errors.Wrapf(err, "write %s", name)
		return nil, errors.CombineErrors(err, errors.CombineErrors(file.Close(), dir.Remove(name)))
	}
	return file, nil
}

// ReplaceFile gives a synced file the name of another one, durably. After an error, either file may
// have the name after a loss of power.
func ReplaceFile(dir Dir, from, to string) error {
	if err := dir.Rename(from, to); err != nil {
		return errors.Wrapf(err, "rename %s", from)
	}
	return errors.Wrap(dir.Sync(), "sync data folder")
}

// OSDir is a Dir in the file system of the operating system.
type OSDir string

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// Prepare implements Dir.
func (d OSDir) Prepare() error {
	return errors.Wrap(makeDir(string(d), syncDir), "create data folder")
}

// makeDir creates a folder and its missing parents, and syncs the parent of the folder and of
// each new one. Without that, a power loss may remove the folder's name and with it the synced
// files below. The parent of an existing folder is synced too: whoever created the folder may
// have been stopped, or refused by the disk, before the sync.
func makeDir(path string, sync func(string) error) error {
	path = filepath.Clean(path)
	parents := []string{filepath.Dir(path)}
	existed := isPresent(path)
	for missing := parents[0]; !existed && !isPresent(missing); missing = filepath.Dir(missing) {
		parents = append(parents, filepath.Dir(missing))
	}
	if err := os.MkdirAll(path, dirMode); err != nil {
		return err
	}
	for _, parent := range parents {
		err := sync(parent)
		if existed && errors.Is(err, os.ErrPermission) {
			// The parent belongs to whoever created the folder.
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "sync %s", parent)
		}
	}
	return nil
}

// isPresent reports whether path exists, or may exist.
func isPresent(path string) bool {
	_, err := os.Stat(path)
	return !errors.Is(err, os.ErrNotExist)
}

// syncDir makes the file names in a folder durable.
func syncDir(path string) error {
	if err := injectFault(opSyncFolder); err != nil {
		return err
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// operation is an operation on a disk that a test build can make fail.
type operation string

// The operations.
const (
	opCreate     operation = "create"
	opWrite      operation = "write"
	opSync       operation = "sync"
	opRename     operation = "rename"
	opSyncFolder operation = "sync-folder"
)

// osFile is a File of the operating system.
type osFile struct{ *os.File }

// Write implements io.Writer.
func (f osFile) Write(p []byte) (int, error) {
	if err := injectFault(opWrite); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

// Sync implements File.
func (f osFile) Sync() error {
	if err := injectFault(opSync); err != nil {
		return err
	}
	return f.File.Sync()
}

// ReadFile implements Dir.
func (d OSDir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.Path(name)) }

// Create implements Dir.
func (d OSDir) Create(name string) (File, error) {
	if err := injectFault(opCreate); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(d.Path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	return osFile{file}, err
}

// Rename implements Dir.
func (d OSDir) Rename(from, to string) error {
	if err := injectFault(opRename); err != nil {
		return err
	}
	return os.Rename(d.Path(from), d.Path(to))
}

// Remove implements Dir.
func (d OSDir) Remove(name string) error { return os.Remove(d.Path(name)) }

// Sync implements Dir.
func (d OSDir) Sync() error { return syncDir(string(d)) }

// Path implements Dir.
func (d OSDir) Path(name string) string { return filepath.Join(string(d), name) }

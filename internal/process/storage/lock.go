package storage

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// lockFile is the name of the lock file in the data folder.
const lockFile = "lock"

// ErrLocked is returned if another process has locked the data folder.
var ErrLocked = errors.New("is used by another process")

// Lock is an exclusive lock on a data folder. The operating system releases it when the
// process ends, even after a crash.
type Lock struct{ file *os.File }

// LockDir locks a data folder, and creates it if it does not exist.
func LockDir(dir string) (*Lock, error) {
	if err := makeDir(dir, syncDir); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	path := filepath.Join(dir, lockFile)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(lockError(dir, path, err), file.Close())
	}
	if err := writePID(file); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "data folder"), file.Close())
	}
	return &Lock{file: file}, nil
}

func lockError(dir, path string, err error) error {
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		return errors.Wrapf(err, "lock data folder %s", dir)
	}
	owner, _ := os.ReadFile(path)
	return errors.Wrapf(ErrLocked, "data folder %s (process %s)", dir, strings.TrimSpace(string(owner)))
}

// writePID writes the process ID to the lock file, for the error message of a process that
// finds the folder locked.
func writePID(file *os.File) error {
	if err := file.Truncate(0); err != nil {
		return err
	}
	_, err := file.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	return err
}

// Close releases the lock. It does nothing on a nil Lock.
func (l *Lock) Close() error {
	if l == nil {
		return nil
	}
	return l.file.Close()
}

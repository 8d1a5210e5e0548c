package storage

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// lockFile is the file in the data folder on which the lock is held.
const lockFile = "lock"

// ErrLocked is returned when another process uses the data folder.
var ErrLocked = errors.New("is used by another process")

// Lock is held on a data folder by the one process that uses it. It ends with
// the process, however that ends.
type Lock struct{ file *os.File }

// LockDir makes the data folder if need be and locks it.
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
		return nil, errors.CombineErrors(refusal(dir, path, err), file.Close())
	}
	if err := writeOwner(file); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "data folder"), file.Close())
	}
	return &Lock{file: file}, nil
}

func refusal(dir, path string, err error) error {
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		return errors.Wrapf(err, "lock data folder %s", dir)
	}
	owner, _ := os.ReadFile(path)
	return errors.Wrapf(ErrLocked, "data folder %s (process %s)", dir, strings.TrimSpace(string(owner)))
}

// writeOwner leaves the process id for who finds the folder locked.
func writeOwner(file *os.File) error {
	if err := file.Truncate(0); err != nil {
		return err
	}
	_, err := file.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	return err
}

// Close gives the data folder free. A nil Lock has nothing to give.
func (l *Lock) Close() error {
	if l == nil {
		return nil
	}
	return l.file.Close()
}

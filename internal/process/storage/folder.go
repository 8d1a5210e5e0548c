package storage

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// lockFile is the name of the lock file in the data folder.
const lockFile = "lock"

// ErrLocked is returned if another process has locked the data folder.
var ErrLocked = errors.New("is used by another process")

// MayRecover reports whether an error of this package comes from a disk that has no room or
// fails, so that the same operation may succeed later without a change of the settings.
func MayRecover(err error) bool {
	return errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO)
}

// Folder is the data folder of a process. Its exclusive lock is released by the operating
// system when the process ends, even after a crash.
type Folder struct {
	path string

	mu sync.Mutex
	// lock is the open lock file, nil until the folder is locked.
	lock *os.File
}

// NewFolder returns the data folder with this path. It does not access the disk.
func NewFolder(path string) *Folder { return &Folder{path: path} }

// Lock locks the folder, and creates it if it does not exist. It does nothing if the folder is
// locked already.
func (f *Folder) Lock() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lock != nil {
		return nil
	}
	if err := OSDir(f.path).Prepare(); err != nil {
		return errors.Wrap(err, "data folder")
	}
	path := filepath.Join(f.path, lockFile)
	if err := injectFault(opCreate); err != nil {
		return errors.Wrap(err, "data folder")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.CombineErrors(lockError(f.path, path, err), file.Close())
	}
	if err := writePID(file); err != nil && !MayRecover(err) {
		return errors.CombineErrors(errors.Wrap(err, "data folder"), file.Close())
	}
	f.lock = file
	return nil
}

func lockError(dir, path string, err error) error {
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		return errors.Wrapf(err, "lock data folder %s", dir)
	}
	owner, _ := os.ReadFile(path)
	return errors.Wrapf(ErrLocked, "data folder %s (process %s)", dir, strings.TrimSpace(string(owner)))
}

// writePID writes the process ID to the lock file, for the error message of a process that
// finds the folder locked. The lock is held without it.
func writePID(file *os.File) error {
	if err := injectFault(opWrite); err != nil {
		return err
	}
	if err := file.Truncate(0); err != nil {
		return err
	}
	_, err := file.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	return err
}

// Dir returns the folder with this name in the data folder; "" is the data folder itself. It
// can be prepared only while this process holds the lock.
func (f *Folder) Dir(name string) Dir {
	return folderDir{OSDir: OSDir(filepath.Join(f.path, name)), folder: f}
}

// Close releases the lock. It does nothing on a nil Folder.
func (f *Folder) Close() error {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}

// folderDir is a Dir in a Folder.
type folderDir struct {
	OSDir
	folder *Folder
}

// Prepare implements Dir.
func (d folderDir) Prepare() error {
	if err := d.folder.Lock(); err != nil {
		return err
	}
	return d.OSDir.Prepare()
}

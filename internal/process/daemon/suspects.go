package daemon

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/storage"
)

// Names of the files of a suspectStore. The new file replaces the other once it is complete.
const (
	suspectsFile    = "suspects.json"
	newSuspectsFile = "suspects.json.new"
)

// suspectRetryInterval is the time between attempts to write suspects that the disk refused.
const suspectRetryInterval = time.Second

// suspectStore keeps the requests that are proven to crash servers on the disk of a source, so that
// they are known when all processes of the fleet have stopped.
type suspectStore struct {
	dir storage.Dir
	log logr.Logger
	// changed holds the newest suspects that are not yet written.
	changed chan []presence.Suspect
}

// openSuspectStore returns the store in the data folder, and the suspects in it that have not
// expired. A file that cannot be read is reported and replaced with the next change.
func openSuspectStore(dir storage.Dir, log logr.Logger) (*suspectStore, []presence.Suspect) {
	s := &suspectStore{dir: dir, log: log, changed: make(chan []presence.Suspect, 1)}
	suspects, err := s.load()
	if err != nil {
		log.Error(err, "suspect requests could not be read; those known before the restart may crash servers again", "file", dir.Path(suspectsFile))
		return s, nil
	}
	now := time.Now().UnixMilli()
	suspects = slices.DeleteFunc(suspects, func(p presence.Suspect) bool { return p.Until <= now })
	log.Info("suspect requests read from disk", "file", dir.Path(suspectsFile), "requests", len(suspects))
	return s, suspects
}

func (s *suspectStore) load() ([]presence.Suspect, error) {
	raw, err := s.dir.ReadFile(suspectsFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var suspects []presence.Suspect
	return suspects, errors.Wrapf(json.Unmarshal(raw, &suspects), "decode %s", s.dir.Path(suspectsFile))
}

// put queues the suspects to be written. It never blocks; only one goroutine may call it.
func (s *suspectStore) put(suspects []presence.Suspect) {
	select {
	case <-s.changed:
	default:
	}
	s.changed <- suspects
}

// run writes queued suspects until ctx ends. A failed write is reported and repeated, so that a
// suspect does not stay in memory only because the disk had no room when it was proven.
func (s *suspectStore) run(ctx context.Context) {
	var suspects []presence.Suspect
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case suspects = <-s.changed:
		case <-retry:
		}
		retry = nil
		if err := s.save(suspects); err != nil {
			s.log.Error(err, "suspect requests could not be written", "file", s.dir.Path(suspectsFile), "requests", len(suspects))
			retry = time.After(suspectRetryInterval)
		}
	}
}

func (s *suspectStore) save(suspects []presence.Suspect) error {
	raw, err := json.Marshal(suspects)
	if err != nil {
		return err
	}
	if err := s.dir.Prepare(); err != nil {
		return err
	}
	file, err := storage.WriteSynced(s.dir, newSuspectsFile, raw)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return storage.ReplaceFile(s.dir, newSuspectsFile, suspectsFile)
}

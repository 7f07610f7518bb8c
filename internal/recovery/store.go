package recovery

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Store keeps the last two states of a router in a directory. A write is whole or not there, whenever the process dies; a fault of
// the disk is returned and changes nothing that was kept.
type Store struct {
	dir, name string
	mu        sync.Mutex
	next      int // which of the two is written next
}

// NewStore names the files of a router that listens at an address. The directory must be there.
func NewStore(dir, listen string) *Store {
	return &Store{dir: dir, name: "state-" + strings.NewReplacer(":", "_", "/", "_").Replace(listen)}
}

func (s *Store) path(n int) string { return filepath.Join(s.dir, fmt.Sprintf("%s.%d", s.name, n)) }

// Save writes a state over the older of the two. It waits for the disk: never call it in the way of a request.
func (s *Store) Save(state State) error {
	text, err := Encode(state)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	part := filepath.Join(s.dir, fmt.Sprintf("%s.%d.part", s.name, os.Getpid())) // two processes of a replacement may save at once
	f, err := os.OpenFile(part, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(part, s.path(s.next))
	}
	if err != nil {
		return errors.Join(err, os.Remove(part))
	}
	s.next = 1 - s.next
	d, err := os.Open(s.dir) // the name is to last as well
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// sweep removes what processes left that died as they wrote.
func (s *Store) sweep() {
	parts, _ := filepath.Glob(filepath.Join(s.dir, s.name+".*.part")) // fails only for a pattern that can't be
	for _, part := range parts {
		if info, err := os.Stat(part); err == nil && time.Since(info.ModTime()) > partFor {
			os.Remove(part)
		}
	}
}

// partFor is how long a file that is being written is left alone.
const partFor = time.Minute

// Load reads the newer of the states that can be read, and says why any other can't; ok is false if there is none.
func (s *Store) Load() (state State, ok bool, faults []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	for n := range 2 {
		text, err := read(s.path(n))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		var one State
		if err == nil {
			one, err = Decode(text)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", filepath.Base(s.path(n)), err))
			continue
		}
		if !ok || one.Saved.After(state.Saved) {
			state, ok, s.next = one, true, 1-n
		}
	}
	return state, ok, faults
}

func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxSize+1))
}

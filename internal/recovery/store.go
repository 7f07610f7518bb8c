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

// Store keeps the last two states of a router in a directory. Writes are atomic even if the process dies; a disk error
// is returned and leaves the stored states unchanged.
type Store struct {
	dir, name string
	mu        sync.Mutex
	nextSlot  int // 0 or 1: file that the next save overwrites
}

// NewStore returns the store of the router that listens at an address. The directory must exist.
func NewStore(dir, listen string) *Store {
	return &Store{dir: dir, name: "state-" + strings.NewReplacer(":", "_", "/", "_").Replace(listen)}
}

// path returns the path of file n, 0 or 1.
func (s *Store) path(n int) string { return filepath.Join(s.dir, fmt.Sprintf("%s.%d", s.name, n)) }

// Save overwrites the older of the two states. It waits for the disk, so it must not be called while serving a
// request.
func (s *Store) Save(state State) error {
	text, err := Encode(state)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tempPath := filepath.Join(s.dir, fmt.Sprintf("%s.%d.part", s.name, os.Getpid())) // both processes of a replacement may save at once
	f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(tempPath, s.path(s.nextSlot))
	}
	if err != nil {
		return errors.Join(err, os.Remove(tempPath))
	}
	s.nextSlot = 1 - s.nextSlot
	d, err := os.Open(s.dir) // makes the rename durable
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// removeStaleParts removes the temporary files of processes that died while they wrote.
func (s *Store) removeStaleParts() {
	parts, _ := filepath.Glob(filepath.Join(s.dir, s.name+".*.part")) // fails only for an invalid pattern
	for _, part := range parts {
		if info, err := os.Stat(part); err == nil && time.Since(info.ModTime()) > stalePartAge {
			os.Remove(part)
		}
	}
}

// stalePartAge is the age below which a temporary file may still be in use.
const stalePartAge = time.Minute

// Load returns the newer of the readable states and an error for each unreadable one; ok is false if none is readable.
func (s *Store) Load() (state State, ok bool, faults []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeStaleParts()
	for n := range 2 {
		text, err := readFile(s.path(n))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		var candidate State
		if err == nil {
			candidate, err = Decode(text)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", filepath.Base(s.path(n)), err))
			continue
		}
		if !ok || candidate.Saved.After(state.Saved) {
			state, ok, s.nextSlot = candidate, true, 1-n
		}
	}
	return state, ok, faults
}

// readFile reads a file up to just over MaxSize, which is enough for Decode to refuse it.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxSize+1))
}

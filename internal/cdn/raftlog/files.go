package raftlog

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Directory is the directory of a journal, with the operations that the journal needs. Tests and simulations substitute their own
// implementation. Creating, renaming or removing a file is durable only once Sync has returned, and data written to a file only
// once the file's own Sync has.
type Directory interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // creates an empty file, or truncates an existing one, for writing
	Rename(from, to string) error
	Remove(name string) error
	Sync() error
}

// File is a file that is written sequentially from its start.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// osDirectory is the path of a directory of the operating system.
type osDirectory string

// OpenDirectory returns a directory of the operating system and creates it if it is missing.
func OpenDirectory(dir string) (Directory, error) {
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, Error.Wrap(err)
		}
		if err := osDirectory(filepath.Dir(dir)).Sync(); err != nil {
			return nil, err
		}
	}
	return osDirectory(dir), nil
}

func (f osDirectory) List() (names []string, err error) {
	entries, err := os.ReadDir(string(f))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, Error.Wrap(err)
}

func (f osDirectory) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(string(f), name))
	return data, Error.Wrap(err)
}

func (f osDirectory) Create(name string) (File, error) {
	file, err := os.Create(filepath.Join(string(f), name))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return file, nil
}

func (f osDirectory) Rename(from, to string) error {
	return Error.Wrap(os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to)))
}

func (f osDirectory) Remove(name string) error {
	return Error.Wrap(os.Remove(filepath.Join(string(f), name)))
}

func (f osDirectory) Sync() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return Error.Wrap(err)
	}
	defer dir.Close()
	return Error.Wrap(dir.Sync())
}

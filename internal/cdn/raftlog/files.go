package raftlog

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Files is the folder that a journal lies in, in the few operations that it needs: a test or a simulation puts its own in
// the place of a real one. A file that was made, renamed or removed is lasting only once Sync has returned; what was
// written to it only once its own Sync has.
type Files interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // an empty one, for writing
	Rename(from, to string) error
	Remove(name string) error
	Sync() error
}

// File is a file that is written from its start to its end.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// folder is a real folder.
type folder string

// OpenFolder returns a folder of the operating system, made if it is missing.
func OpenFolder(dir string) (Files, error) {
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, Error.Wrap(err)
		}
		if err := folder(filepath.Dir(dir)).Sync(); err != nil {
			return nil, err
		}
	}
	return folder(dir), nil
}

func (f folder) List() (names []string, err error) {
	entries, err := os.ReadDir(string(f))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, Error.Wrap(err)
}

func (f folder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(string(f), name))
	return data, Error.Wrap(err)
}

func (f folder) Create(name string) (File, error) {
	file, err := os.Create(filepath.Join(string(f), name))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return file, nil
}

func (f folder) Rename(from, to string) error {
	return Error.Wrap(os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to)))
}

func (f folder) Remove(name string) error {
	return Error.Wrap(os.Remove(filepath.Join(string(f), name)))
}

func (f folder) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return Error.Wrap(err)
	}
	defer d.Close()
	return Error.Wrap(d.Sync())
}

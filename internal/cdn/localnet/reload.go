package localnet

import (
	"path/filepath"
	"syscall"
)

// Reload rewrites a machine's settings file, with its seed nodes in another order, and sends SIGHUP to its processes. It may be
// called while they shut down.
func (n *Network) Reload(m *Machine) error {
	m.mu.Lock()
	m.reloads++
	err := replaceFile(filepath.Join(m.Dir, settingsFile), []byte(n.settingsText(m)))
	m.mu.Unlock()
	if err != nil {
		return err
	}
	n.Signal(m, syscall.SIGHUP)
	return nil
}

// rotated returns a copy of the items rotated to the left by a number of places.
func rotated(items []string, by int) []string {
	if len(items) == 0 {
		return nil
	}
	by %= len(items)
	return append(append([]string(nil), items[by:]...), items[:by]...)
}

package localnet

import (
	"path/filepath"
	"syscall"
)

// Reload writes a machine's settings file anew, with its seeds in another order, and tells its processes so by SIGHUP. It may come while they end.
func (n *Network) Reload(m *Machine) error {
	m.mu.Lock()
	m.reloads++
	err := replaceFile(filepath.Join(m.Dir, settingsFile), []byte(n.settings(m)))
	m.mu.Unlock()
	if err != nil {
		return err
	}
	n.Signal(m, syscall.SIGHUP)
	return nil
}

// rotated returns the items in turn from another one on.
func rotated(items []string, by int) []string {
	if len(items) == 0 {
		return nil
	}
	by %= len(items)
	return append(append([]string(nil), items[by:]...), items[:by]...)
}

package localnet

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// process is a process of one of the programs.
type process struct {
	name    string // of its machine and program
	allowed int64  // bytes of memory
	cmd     *exec.Cmd
	started time.Time
	told    atomic.Bool // it was sent a signal that ends it
	// signaledEarly holds a signal that it was sent while the kernel would still end it by that, before the program's first instruction; 0: none.
	signaledEarly atomic.Int64
	ended         chan struct{} // closed when it has ended
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// programs returns the names of the programs that run on a machine.
func (m *Machine) programs() []string {
	if m.Core {
		return []string{"configstore", "registry"}
	}
	return []string{"edge"}
}

// StartMachine writes a machine's settings and starts those of its processes that are not running.
func (n *Network) StartMachine(m *Machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return n.startMissing(m)
}

// StartSuccessors starts the machine's processes once more, beside those that run, which must have been sent a signal that ends them.
func (n *Network) StartSuccessors(m *Machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.predecessors = slices.DeleteFunc(m.predecessors, (*process).hasEnded)
	for name, p := range m.processes {
		m.predecessors = append(m.predecessors, p)
		delete(m.processes, name)
	}
	return n.startMissing(m)
}

// startMissing writes the settings and starts the processes that are not running. The caller holds the machine's mutex.
func (n *Network) startMissing(m *Machine) error {
	file := filepath.Join(m.Dir, settingsFile)
	if err := replaceFile(file, []byte(n.settingsText(m))); err != nil {
		return err
	}
	m.firstStart = false
	for _, name := range m.programs() {
		if p := m.processes[name]; p != nil && !p.hasEnded() {
			continue
		}
		p, err := n.startProcess(m, name, file)
		if err != nil {
			return err
		}
		m.processes[name] = p
	}
	return nil
}

// startProcess starts one program on a machine.
func (n *Network) startProcess(m *Machine, name, settings string) (*process, error) {
	line := n.Program(name)
	if n.Metrics {
		line = append(line, "--metrics", fmt.Sprintf("%d/metrics", metricsPorts[name]))
	}
	reader := LogReader{}
	if n.DrawLogReader != nil {
		reader = n.DrawLogReader()
	}
	if reader.Stalls {
		line = append(line, "--log", "trace")
	}
	cmd := exec.Command(line[0], line[1:]...)
	cmd.Env = append(os.Environ(), "CEDARMAST_CONFIG="+settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := n.openLog(m.Name+" ", reader)
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = log.writer, log.writer
	err = cmd.Start()
	log.writer.Close()
	if err != nil {
		log.reader.Close()
		return nil, Error.Wrap(err)
	}
	p := n.watchProcess(m, name, cmd)
	go log.read(p.ended)
	return p, nil
}

// replaceFile replaces a file atomically: a process that starts meanwhile reads either the old or the new contents.
func replaceFile(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(next, path))
}

// watchProcess returns the handle of a started process, and waits for its end in the background.
func (n *Network) watchProcess(m *Machine, program string, cmd *exec.Cmd) *process {
	p := &process{name: m.Name + ": " + program, allowed: int64(n.allowancesOf(m).MemoryMB) << 20, cmd: cmd, started: time.Now(),
		ended: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		n.recordEnd(p, p.name, err)
		close(p.ended)
	}()
	return p
}

// recordEnd records the end of a process that was not told to end.
func (n *Network) recordEnd(p *process, name string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case p.told.Load():
	case endedBy(err, syscall.Signal(p.signaledEarly.Load())):
		n.endedEarly++
	default:
		n.unexpected = append(n.unexpected, fmt.Sprintf("%s ended by itself %s after its start: %v", name, time.Since(p.started).Round(time.Millisecond), err))
	}
}

// endedBy reports whether a process was ended by a signal.
func endedBy(err error, s syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// UnexpectedEnds describes the processes that have ended without a signal from Signal that does so.
func (n *Network) UnexpectedEnds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.unexpected)
}

// EndedEarly returns how many processes SIGHUP or SIGUSR1 has ended before the first instruction of their program, which no program can prevent.
func (n *Network) EndedEarly() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endedEarly
}

// Signal sends a signal to a machine's processes. After SIGKILL and SIGTERM it waits until those that run at the moment have ended; other
// signals may be sent, and successors started, meanwhile.
func (n *Network) Signal(m *Machine, s syscall.Signal) {
	ends := s == syscall.SIGKILL || s == syscall.SIGTERM
	m.mu.Lock()
	signaled := append(slices.Collect(maps.Values(m.processes)), m.predecessors...)
	for _, p := range signaled {
		n.notePeakMemory(p)
		if ends || s == syscall.SIGQUIT {
			p.told.Store(true)
		}
		if (s == syscall.SIGHUP || s == syscall.SIGUSR1) && p.diesBy(s) {
			p.signaledEarly.Store(int64(s))
		}
		p.cmd.Process.Signal(s)
	}
	m.mu.Unlock()
	if !ends {
		return
	}
	for _, p := range signaled {
		<-p.ended
	}
	m.forgetEnded()
}

// forgetEnded forgets the processes that have ended.
func (m *Machine) forgetEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.processes, func(_ string, p *process) bool { return p.hasEnded() })
	m.predecessors = slices.DeleteFunc(m.predecessors, (*process).hasEnded)
}

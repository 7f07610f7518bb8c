package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/kit/model"
	"cedarmast/internal/settings"
)

// router is one router across all starts of its process.
type router struct {
	rig    *Rig
	index  int
	name   string
	listen string // the same after a restart

	operatorAddr string // address for operators' calls

	configPath string // of its configuration file

	mu            sync.Mutex
	cmd           *exec.Cmd // nil while none runs
	exited        chan struct{}
	killed        bool
	starts        int
	peakMB        float64
	cpuUsed       time.Duration // processor time of the processes that have exited
	crashes       int           // exits that were not requested
	stopRequested bool          // a graceful stop of the running process was requested
	running       bool
	ready         bool // has answered its readiness check since its start
	diskFull      bool // its writes to files fail
	initialList   bool // its next start gets the list as of the run's start; used on the model's goroutine only
}

func newRouter(r *Rig, k int, name, listen, operators string) *router {
	return &router{rig: r, index: k, name: name, listen: listen, operatorAddr: operators, configPath: filepath.Join(r.tempDir, name+".json")}
}

// config returns the router's configuration file for its next start or reload. It must be called on the model's goroutine.
func (t *router) config() ([]byte, error) {
	r := t.rig
	peerListen, peers := r.relay.peers(t.index)
	known := r.listInstances(t.index, 0, false)
	if t.initialList {
		known = r.encodeInstances(t.index, 0, true, r.world.InitialEntries())
	}
	return json.Marshal(map[string]any{
		"name": t.name, "listen": t.listen, "discovery": r.agents[t.index].currentAddress(),
		"seed":   strconv.FormatUint(r.opt.Seed*1000+uint64(t.index)*100+uint64(t.starts), 16),
		"limits": map[string]any{"cores": r.scenario.Limits.Cores, "memory_mb": r.scenario.Limits.MemoryMB, "sockets": r.scenario.Limits.Descriptors},
		"known":  known, "operator": t.operatorAddr, "peer_listen": peerListen, "peers": peers, "settings": r.world.Profile(t.index),
	})
}

// operatorFile writes the operators' file that all routers read and returns its path; empty if it would have no content.
func (r *Rig) operatorFile() (string, error) {
	own := r.world.Operator()
	if r.scenario.Stored.On {
		for _, dir := range []string{"state", "beginning"} {
			if err := os.Mkdir(r.stateDir(dir), 0o700); err != nil {
				return "", err
			}
		}
		own.State = &settings.State{Dir: r.stateDir("state"), Every: "1s"}
	}
	if r.scenario.Shared.On {
		own.Shared = &settings.Shared{}
	}
	if own.Sites == nil && own.State == nil && own.Shared == nil && own.Placement == nil {
		return "", nil
	}
	text, err := toml.Marshal(own)
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.tempDir, "operator.toml")
	return path, os.WriteFile(path, text, 0o600)
}

// stateDir returns a folder of stored states: "state", which routers write, or "beginning", a copy from the start of the run.
func (r *Rig) stateDir(name string) string { return filepath.Join(r.tempDir, name) }

// stateFiles returns the router's state files in a folder, the newest first.
func (t *router) stateFiles(dir string) []string {
	all, _ := filepath.Glob(filepath.Join(dir, "state-"+strings.ReplaceAll(t.listen, ":", "_")+".[01]"))
	age := func(path string) time.Time {
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}
		}
		return info.ModTime()
	}
	slices.SortFunc(all, func(a, b string) int { return age(b).Compare(age(a)) })
	return all
}

// copyState replaces the router's state files in folder to by those in folder from.
func (t *router) copyState(from, to string) {
	for _, path := range t.stateFiles(to) {
		os.Remove(path)
	}
	for _, path := range t.stateFiles(from) {
		if text, err := os.ReadFile(path); err == nil {
			os.WriteFile(filepath.Join(to, filepath.Base(path)), text, 0o600)
		}
	}
}

// prepareState prepares the stored state and the list that the router's next start gets. It must be called on the model's goroutine
// while no process is running.
func (t *router) prepareState(f model.StoredState) {
	t.initialList = f.InitialList
	dir := t.rig.stateDir("state")
	switch f.State {
	case "lost":
		t.copyState(t.rig.stateDir("nowhere"), dir)
	case "old":
		t.copyState(t.rig.stateDir("beginning"), dir)
	case "torn":
		if all := t.stateFiles(dir); len(all) > 0 {
			if info, err := os.Stat(all[0]); err == nil {
				os.Truncate(all[0], info.Size()/2)
			}
		}
	}
}

// launch starts a router. ready is called once, with nil when the router answers that it is ready, or with the reason why it is not;
// it is not called if the router is running already. launch must be called on the model's goroutine.
func (r *Rig) launch(k int, ready func(error)) {
	if r.opt.Direct {
		ready(nil)
		return
	}
	t := r.routers[k]
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		return // two overlapping troubles start it; it is running already
	}
	t.starts++
	text, err := t.config()
	if err == nil {
		err = os.WriteFile(t.configPath, text, 0o600)
	}
	if err != nil {
		ready(err)
		return
	}
	log, err := r.logFile(t.name)
	if err != nil {
		ready(err)
		return
	}
	cmd := exec.Command(r.opt.Router[0], r.opt.Router[1:]...)
	var last logTail
	cmd.Stdout, cmd.Stderr = io.Discard, io.MultiWriter(log, &last, &viewReader{rig: r, router: t.name})
	cmd.Env = append(append(os.Environ(), "GW_CONFIG="+t.configPath, "GW_NAME="+t.name, "GW_LISTEN="+t.listen, "GW_DISCOVERY="+r.agents[k].currentAddress(), "CEDARMAST_OPERATOR="+r.operatorPath,
		"TMPDIR="), r.opt.Env...) // no state outlives the process but what the scenario stores
	// Its own process group keeps a terminal's interrupt from it; Pdeathsig kills it when the rig ends for whatever reason.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		ready(err)
		return
	}
	exited := make(chan struct{})
	t.cmd, t.exited, t.killed, t.stopRequested, t.running = cmd, exited, false, false, true
	r.enforceLimits(t, cmd.Process.Pid)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		cmd.Wait()
		log.Close()
		t.mu.Lock()
		t.running, t.ready = false, false
		t.cpuUsed += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			t.peakMB = max(t.peakMB, float64(u.Maxrss)/1024)
		}
		killed, crashed := t.killed, !t.killed && (!t.stopRequested || !cmd.ProcessState.Success())
		if crashed {
			t.crashes++
		}
		t.mu.Unlock()
		close(exited)
		if crashed {
			r.RecordEvent(r.now(), fmt.Sprintf("%s ended with %v: %s", t.name, cmd.ProcessState, last.String()))
		}
		if r.running.Load() {
			r.post(func() { r.world.RouterEnded(k, killed) })
		}
	}()
	r.background(func() {
		err := t.awaitReady(exited)
		if err != nil && last.Len() > 0 {
			err = fmt.Errorf("%w: %s", err, strings.TrimSpace(last.String()))
		}
		t.mu.Lock()
		t.ready = err == nil && t.running
		t.mu.Unlock()
		ready(err)
	})
}

// awaitReady polls the router until it answers that it is ready.
func (t *router) awaitReady(exited <-chan struct{}) error {
	client := boundedhttp.NewClient(time.Second, false)
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); {
		if resp, err := client.Get("http://" + t.listen + "/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("%s ended before it was ready", t.name)
		case <-t.rig.ctx.Done():
			return t.rig.ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s is not ready after %v", t.name, readyTimeout)
}

// kill ends the router with SIGKILL and returns once it has exited.
func (t *router) kill() {
	t.mu.Lock()
	cmd, exited, running := t.cmd, t.exited, t.running
	t.killed = t.killed || running
	t.mu.Unlock()
	if running {
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		<-exited
	}
}

// stall suspends the router's process with SIGSTOP, or resumes it.
func (t *router) stall(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		t.cmd.Process.Signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	}
}

// fillDisk makes the process's writes to files fail, as on a full disk, or lets them succeed again.
func (t *router) fillDisk(full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.diskFull = full; t.running {
		setFileWriteLimit(t.cmd.Process.Pid, full)
	}
}

// terminate shuts the router down gracefully, and with SIGKILL after shutdownTimeout.
func (t *router) terminate() {
	t.mu.Lock()
	cmd, exited, running := t.cmd, t.exited, t.running
	t.stopRequested = true
	t.mu.Unlock()
	if !running {
		return
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(shutdownTimeout):
		t.rig.RecordEvent(t.rig.now(), t.name+" did not end in time and was killed")
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // requests that it still holds count against it
		<-exited
	}
}

// reload moves the router's discovery agent to a new address and makes the router reload its configuration. It must be called on the
// model's goroutine.
func (t *router) reload() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running || t.rig.agents[t.index].move() != nil {
		return
	}
	text, err := t.config()
	if err != nil || os.WriteFile(t.configPath+".new", text, 0o600) != nil || os.Rename(t.configPath+".new", t.configPath) != nil {
		return
	}
	t.cmd.Process.Signal(syscall.SIGHUP)
}

// peakMemoryMB returns the peak memory of any of the router's exited processes, in MB.
func (t *router) peakMemoryMB() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peakMB
}

// crashCount returns how often the process has exited without being asked to, or failed while it stopped.
func (t *router) crashCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// cpuTime returns the processor time of the processes that have exited.
func (t *router) cpuTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cpuUsed
}

// logTail keeps the end of a router's log, for the error message if it does not start.
type logTail struct {
	mu sync.Mutex
	b  bytes.Buffer
}

const logTailBytes = 400

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.b.Write(p)
	if t.b.Len() > 4*logTailBytes {
		t.b.Next(t.b.Len() - logTailBytes)
	}
	return len(p), nil
}

func (t *logTail) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.b.Len()
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := t.b.Bytes()
	return string(text[max(len(text)-logTailBytes, 0):])
}

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

	"cedarmast/internal/kit/model"
	"cedarmast/internal/settings"
)

// router is one router process, over all its starts.
type router struct {
	rig    *Rig
	k      int
	name   string
	listen string // the same after a restart

	operators string // where operators' calls come

	path string // of its configuration

	mu      sync.Mutex
	cmd     *exec.Cmd // nil while none runs
	exited  chan struct{}
	killed  bool
	starts  int
	peakMB  float64
	used    time.Duration // processor time of those that have ended
	crashes int           // ends that nobody asked for
	asked   bool          // to end
	running bool
	ready   bool // has said so since its start
	full    bool // its disk
	old     bool // its next start finds the list of the day's beginning; the model's goroutine's
}

func newRouter(r *Rig, k int, name, listen, operators string) *router {
	return &router{rig: r, k: k, name: name, listen: listen, operators: operators, path: filepath.Join(r.dir, name+".json")}
}

// config is what a router is told at a start. It is called on the model's goroutine.
func (t *router) config() ([]byte, error) {
	r := t.rig
	peerListen, peers := r.between.peers(t.k)
	known := r.instances(t.k, 0, false)
	if t.old {
		known = r.listed(t.k, 0, true, r.world.InitialEntries())
	}
	return json.Marshal(map[string]any{
		"name": t.name, "listen": t.listen, "discovery": r.agents[t.k].at(),
		"seed":   strconv.FormatUint(r.opt.Seed*1000+uint64(t.k)*100+uint64(t.starts), 16),
		"limits": map[string]any{"cores": r.set.Limits.Cores, "memory_mb": r.set.Limits.MemoryMB, "sockets": r.set.Limits.Descriptors},
		"known":  known, "operator": t.operators, "peer_listen": peerListen, "peers": peers, "settings": r.world.Profile(t.k),
	})
}

// operatorFile writes the operators' file that all routers read, and returns its path; empty if nothing is to stand in it.
func (r *Rig) operatorFile() (string, error) {
	own := r.world.Operator()
	if r.set.Stored.On {
		for _, dir := range []string{"state", "beginning"} {
			if err := os.Mkdir(r.stateDir(dir), 0o700); err != nil {
				return "", err
			}
		}
		own.State = &settings.State{Dir: r.stateDir("state"), Every: "1s"}
	}
	if r.set.Shared.On {
		own.Shared = &settings.Shared{}
	}
	if own.Sites == nil && own.State == nil && own.Shared == nil && own.Placement == nil {
		return "", nil
	}
	text, err := toml.Marshal(own)
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.dir, "operator.toml")
	return path, os.WriteFile(path, text, 0o600)
}

// stateDir is a folder of stored states: state, which routers write, and beginning, as it was when the day began.
func (r *Rig) stateDir(name string) string { return filepath.Join(r.dir, name) }

// stateFiles are a router's in a folder, the newest first.
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

// copyState puts a router's files of one folder in the place of those in another.
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

// finds lays out what a router is to find at its next start. It is called on the model's goroutine, with no process running.
func (t *router) finds(f model.StoredState) {
	t.old = f.InitialList
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

// launch starts a router; ready hears once it answers that it is, or why it won't. It is called on the model's goroutine.
func (r *Rig) launch(k int, ready func(error)) {
	if r.opt.Direct {
		ready(nil)
		return
	}
	t := r.routers[k]
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		return // two troubles have met; it is there already
	}
	t.starts++
	text, err := t.config()
	if err == nil {
		err = os.WriteFile(t.path, text, 0o600)
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
	var last tail
	cmd.Stdout, cmd.Stderr = io.Discard, io.MultiWriter(log, &last, &viewReader{rig: r, router: t.name})
	cmd.Env = append(append(os.Environ(), "GW_CONFIG="+t.path, "GW_NAME="+t.name, "GW_LISTEN="+t.listen, "GW_DISCOVERY="+r.agents[k].at(), "CEDARMAST_OPERATOR="+r.operator,
		"TMPDIR="), r.opt.Env...) // nothing lasts but what the scenario says
	// Of its own group, so that an interrupt of the terminal does not reach it, and dead with the rig, whatever ends that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		ready(err)
		return
	}
	exited := make(chan struct{})
	t.cmd, t.exited, t.killed, t.asked, t.running = cmd, exited, false, false, true
	r.limit(t, cmd.Process.Pid)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		cmd.Wait()
		log.Close()
		t.mu.Lock()
		t.running, t.ready = false, false
		t.used += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			t.peakMB = max(t.peakMB, float64(u.Maxrss)/1024)
		}
		killed, crashed := t.killed, !t.killed && (!t.asked || !cmd.ProcessState.Success())
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

// awaitReady asks the router until it says that it is ready.
func (t *router) awaitReady(exited <-chan struct{}) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(readyWithin); time.Now().Before(until); {
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
	return fmt.Errorf("%s is not ready after %v", t.name, readyWithin)
}

// kill ends a router outright and returns once it is gone.
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

// stall stops a router's process as it stands, or has it go on.
func (t *router) stall(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		t.cmd.Process.Signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	}
}

// fillDisk has the system refuse what the process writes to files, as a full disk does, or has it take that again.
func (t *router) fillDisk(full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.full = full; t.running {
		limitFiles(t.cmd.Process.Pid, full)
	}
}

// terminate ends a router in order, and outright if that takes too long.
func (t *router) terminate() {
	t.mu.Lock()
	cmd, exited, running := t.cmd, t.exited, t.running
	t.asked = true
	t.mu.Unlock()
	if !running {
		return
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(endsWithin):
		t.rig.RecordEvent(t.rig.now(), t.name+" did not end in time and was killed")
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // what it holds then is not excused
		<-exited
	}
}

// reload gives the router discovery at a new address. It is called on the model's goroutine.
func (t *router) reload() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running || t.rig.agents[t.k].move() != nil {
		return
	}
	text, err := t.config()
	if err != nil || os.WriteFile(t.path+".new", text, 0o600) != nil || os.Rename(t.path+".new", t.path) != nil {
		return
	}
	t.cmd.Process.Signal(syscall.SIGHUP)
}

// memory is the most that any of the router's processes has taken, in MB.
func (t *router) memory() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peakMB
}

// crashed is how often it has ended when nobody had asked it to.
func (t *router) crashed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// cpu is the processor time of those that have ended.
func (t *router) cpu() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used
}

// tail keeps the end of what a router says, for the message if it can't start.
type tail struct {
	mu sync.Mutex
	b  bytes.Buffer
}

const tailLength = 400

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.b.Write(p)
	if t.b.Len() > 4*tailLength {
		t.b.Next(t.b.Len() - tailLength)
	}
	return len(p), nil
}

func (t *tail) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.b.Len()
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := t.b.Bytes()
	return string(text[max(len(text)-tailLength, 0):])
}

// Package localnet starts a small delivery network on this machine: real processes of the three programs, each on an address of
// its own of the loopback net, with stand-in servers that tell of themselves as real ones do. The network's tests and
// `localnet up` use it.
package localnet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("localnet")

// Shape is how large a network is.
type Shape struct {
	Core, Edges int
	Stores      int // cache routers without clients, on links that are far wider than the edges'; 0: links are alike
	Zones       int // over which machines are dealt out in turn
	Dir         string
	Net         byte // the network is at 127.0.Net.x, so that several fit on one machine; 0: wherever is free
	// Program returns the command line of a program; it is run with CEDARMAST_CONFIG set.
	Program func(name string) []string
	Out     io.Writer // of all processes' logs; nil: none
	Metrics bool      // proxies tell their figures; see Figures
	Reports bool      // the tenants' usage falls due at a stand-in platform
	// The spans of the operators' rules that the settings name; 0: not named.
	Revoke, Contact time.Duration
}

// The ports are alike on all machines, as on the operators'.
const (
	counterPort   = 8144
	readinessPort = 8140
	controlPort   = 8146
	sparePort     = 7660
	beatEvery     = 300 * time.Millisecond
)

const settingsFile = "boot.conf"

// metricsPorts are where each program tells its figures.
var metricsPorts = map[string]int{"edge": 9464, "configstore": 9465, "registry": 9466}

// Machine is one address with the processes on it.
type Machine struct {
	Name, IP, Zone string
	Core, Store    bool
	Dir            string
	first          bool

	mu        sync.Mutex
	processes map[string]*program
	reloads   int // of its settings file
}

// program is a process of one of the programs.
type program struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed once it has ended
}

// Network is a network that runs.
type Network struct {
	Shape
	Machines []*Machine
	Platform *Platform // nil without Reports
	claimed  io.Closer // its addresses
	client   http.Client
	started  time.Time
	logMu    sync.Mutex // of Out
	mu       sync.Mutex
	servers  []*Server
}

// Start writes the settings and starts all processes.
func Start(shape Shape) (*Network, error) {
	at, claimed, err := claim(shape.Net)
	if err != nil {
		return nil, err
	}
	shape.Net = at
	n := &Network{Shape: shape, claimed: claimed, client: http.Client{Timeout: 3 * time.Second}, started: time.Now()}
	for i := range shape.Core + shape.Edges + shape.Stores {
		m := &Machine{IP: fmt.Sprintf("127.0.%d.%d", shape.Net, i+1), Zone: fmt.Sprint("zone-", i%max(shape.Zones, 1)+1), Core: i < shape.Core, Store: i >= shape.Core+shape.Edges,
			first: true, processes: map[string]*program{}}
		m.Name = fmt.Sprint("edge-", i-shape.Core+1)
		if m.Core {
			m.Name = fmt.Sprint("core-", i+1)
		} else if m.Store {
			m.Name = fmt.Sprint("store-", i-shape.Core-shape.Edges+1)
		}
		m.Dir = filepath.Join(shape.Dir, m.Name)
		if err := os.MkdirAll(m.Dir, 0o755); err != nil {
			n.Stop()
			return nil, Error.Wrap(err)
		}
		n.Machines = append(n.Machines, m)
	}
	if err := n.startPlatform(); err != nil {
		return nil, err
	}
	for _, m := range n.Machines {
		if err := n.Up(m); err != nil {
			n.Stop()
			return nil, err
		}
	}
	return n, nil
}

func (n *Network) settings(m *Machine) string {
	var seeds []string
	zones := map[string]bool{}
	for i, c := range n.Machines {
		if i < min(n.Core, 3) {
			seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, controlPort))
		}
		zones[c.Zone] = true
	}
	var b strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&b, "%s=%v\n", key, value) }
	line("self.node", m.Name)
	line("self.ip", m.IP)
	line("self.zone", m.Zone)
	line("self.region", "here")
	line("self.first_start", m.first)
	line("self.allowances.memory_mb", 256)
	line("self.allowances.file_handles", 1024)
	if m.Core {
		line("self.data_dir", filepath.Join(m.Dir, "data"))
		line("network.listen_on.control_dock", fmt.Sprintf("%s:%d", m.IP, controlPort))
	} else if !m.Store {
		if n.Stores > 0 {
			line("self.allowances.link_mbps", 12)
		}
		line("self.serves", "counter")
		line("network.listen_on.counter", fmt.Sprintf("%s:%d", m.IP, counterPort))
		line("network.listen_on.readiness", fmt.Sprintf("%s:%d", m.IP, readinessPort))
	}
	line("network.spare_ports", fmt.Sprintf("%d,%d", sparePort, sparePort+15))
	line("network.seed_nodes", strings.Join(rotated(seeds, m.reloads), ","))
	for z := range zones {
		line("network.zones."+z, "here")
	}
	line("yard.heartbeat", beatEvery.String())
	if n.Reports {
		n.platformSettings(line)
	}
	n.timetable(line)
	return b.String()
}

// Up starts a machine's processes that do not run.
func (n *Network) Up(m *Machine) error {
	programs := []string{"edge"}
	if m.Core {
		programs = []string{"configstore", "registry"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	file := filepath.Join(m.Dir, settingsFile)
	if err := replaceFile(file, []byte(n.settings(m))); err != nil {
		return err
	}
	m.first = false
	for _, p := range programs {
		if m.processes[p] != nil {
			continue
		}
		line := n.Program(p)
		if n.Metrics {
			line = append(line, "--metrics", fmt.Sprintf("%d/metrics", metricsPorts[p]))
		}
		cmd := exec.Command(line[0], line[1:]...)
		cmd.Env = append(os.Environ(), "CEDARMAST_CONFIG="+file)
		if n.Out != nil {
			out := &lineWriter{out: n.Out, mu: &n.logMu, prefix: m.Name + " ", started: n.started}
			cmd.Stdout, cmd.Stderr = out, out
		}
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return Error.Wrap(err)
		}
		m.processes[p] = started(cmd)
	}
	return nil
}

// replaceFile writes a file whole or not at all: a process that starts meanwhile reads the old one or the new one.
func replaceFile(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(next, path))
}

// started takes a process that runs, and waits for its end.
func started(cmd *exec.Cmd) *program {
	p := &program{cmd: cmd, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p
}

// Signal sends a signal to a machine's processes; those that it ends are waited for. Other signals may come meanwhile.
func (n *Network) Signal(m *Machine, s syscall.Signal) {
	m.mu.Lock()
	sent := maps.Clone(m.processes)
	for _, p := range sent {
		p.cmd.Process.Signal(s)
	}
	m.mu.Unlock()
	if s != syscall.SIGKILL && s != syscall.SIGTERM {
		return
	}
	for name, p := range sent {
		<-p.ended
		m.mu.Lock()
		if m.processes[name] == p {
			delete(m.processes, name)
		}
		m.mu.Unlock()
	}
}

// Wipe empties the disk of a machine that is down.
func (n *Network) Wipe(m *Machine) error { return os.RemoveAll(filepath.Join(m.Dir, "data")) }

// Stop kills all that was started.
func (n *Network) Stop() {
	n.mu.Lock()
	for _, s := range n.servers {
		s.Stop()
	}
	n.mu.Unlock()
	for _, m := range n.Machines {
		n.Signal(m, syscall.SIGKILL)
	}
	if n.Platform != nil {
		n.Platform.Stop()
	}
	n.claimed.Close()
}

// Control calls the first core machine that answers, as the operator would, until the context ends.
func (n *Network) Control(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	for turn := 0; ; turn++ {
		m := n.Machines[turn%n.Core]
		status, text, err := n.ControlAt(ctx, m, method, path, body)
		if err == nil && status < 500 {
			return status, text, nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, Error.New("%s %s: no clear answer: %w", method, path, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// ControlAt calls one core machine, once.
func (n *Network) ControlAt(ctx context.Context, m *Machine, method, path string, body []byte) (int, []byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.IP, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r, err := n.client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, text, err
}

// CoreMachines are the machines that hold the log.
func (n *Network) CoreMachines() []*Machine { return n.Machines[:n.Core] }

// EdgeMachines are the machines that clients call.
func (n *Network) EdgeMachines() []*Machine { return n.Machines[n.Core : n.Core+n.Edges] }

// StoreMachines are the cache routers without clients.
func (n *Network) StoreMachines() []*Machine { return n.Machines[n.Core+n.Edges:] }

// Ready tells whether an edge calls itself ready.
func (n *Network) Ready(m *Machine) bool {
	r, err := n.client.Get(fmt.Sprintf("http://%s:%d/ready", m.IP, readinessPort))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Ask sends a client's request to an edge.
func (n *Network) Ask(m *Machine, method, host, path, id string) (int, http.Header, string, error) {
	return n.ask(m, method, host, path, http.Header{"Try-Id": {id}})
}

// AskWithKey sends a request of a client that holds a key to an edge, and returns the answer's status.
func (n *Network) AskWithKey(m *Machine, host, path, id, key string) (int, error) {
	status, _, _, err := n.ask(m, http.MethodGet, host, path, http.Header{"Try-Id": {id}, "Key": {key}})
	return status, err
}

func (n *Network) ask(m *Machine, method, host, path string, header http.Header) (int, http.Header, string, error) {
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.IP, counterPort, path), nil)
	if err != nil {
		return 0, nil, "", err
	}
	q.Host, q.Header = host, header
	q.Header.Set("Time-Left", "2000")
	r, err := n.client.Do(q)
	if err != nil {
		return 0, nil, "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header, string(body), err
}

// Server is a stand-in server: it keeps versioned objects, runs requests and keeps a ledger of them.
type Server struct {
	ID, Service, Address, Zone string

	network *Network
	http    *http.Server
	mu      sync.Mutex
	version int
	state   string
	beat    uint64
	ran     map[string]int
	stop    context.CancelFunc
	Acked   chan struct{} // gets a word for each acknowledged call, when somebody listens
}

// Figures returns what a machine's programs tell of themselves, in the text format of Prometheus.
func (n *Network) Figures(ctx context.Context, m *Machine) (string, error) {
	programs := []string{"edge"}
	if m.Core {
		programs = []string{"configstore", "registry"}
	}
	all := ""
	for _, p := range programs {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/metrics", m.IP, metricsPorts[p]), nil)
		if err != nil {
			return "", err
		}
		r, err := n.client.Do(q)
		if err != nil {
			return "", err
		}
		text, err := io.ReadAll(r.Body)
		r.Body.Close()
		if err != nil {
			return "", err
		}
		all += string(text)
	}
	return all, nil
}

// Client is where a machine takes clients' requests.
func (m *Machine) Client() string { return fmt.Sprintf("%s:%d", m.IP, counterPort) }

// Serve starts a stand-in server of a service.
func (n *Network) Serve(id, service string, at byte) (*Server, error) {
	return n.ServeWith(id, service, at, nil)
}

// ServeWith starts a stand-in server whose requests the handler runs; nil: its own.
func (n *Network) ServeWith(id, service string, at byte, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", n.Net, at))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{ID: id, Service: service, Address: l.Addr().String(), Zone: "zone-1", network: n, version: 1, state: "open", ran: map[string]int{}, stop: stop,
		Acked: make(chan struct{})}
	if handler == nil {
		handler = s
	}
	s.http = &http.Server{Handler: handler}
	go s.http.Serve(l)
	go s.tell(ctx)
	n.mu.Lock()
	n.servers = append(n.servers, s)
	n.mu.Unlock()
	return s, nil
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Try-Id")
	if id != "" {
		w.Header().Set("Try-Id", id)
	}
	if want := r.Header.Get("Addressee"); want != "" && want != s.ID {
		w.Header().Set("Server-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.ran[id]++
	tag := fmt.Sprintf(`"%d"`, s.version)
	w.Header().Set("Postmark", s.ID+"."+id)
	w.Header().Set("Etag", tag)
	w.Header().Set("Labels", "all")
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	fmt.Fprintf(w, "%s %s version %d of %s\n", r.Method, r.URL.Path, s.version, s.Service)
}

// Change replaces all objects by a newer version.
func (s *Server) Change() {
	s.mu.Lock()
	s.version++
	s.mu.Unlock()
}

// Ran is how many requests reached it, all in all, and the most for one id.
func (s *Server) Ran() (all, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.ran {
		all, most = all+k, max(most, k)
	}
	return all, most
}

// Close makes it say from now on that it is closing.
func (s *Server) Close() {
	s.mu.Lock()
	s.state = "closing"
	s.mu.Unlock()
}

// Mute ends its beats; it goes on taking requests.
func (s *Server) Mute() { s.stop() }

// Stop ends it without a word.
func (s *Server) Stop() {
	s.stop()
	s.http.Close()
}

// tell keeps the registry told.
func (s *Server) tell(ctx context.Context) {
	for {
		s.mu.Lock()
		s.beat++
		body, _ := json.Marshal(map[string]any{"id": s.ID, "carrier": s.Service, "address": s.Address, "zone": s.Zone, "edition": "v1", "berths": 8,
			"state": s.state, "warmup": "0ms", "postmark": s.beat})
		s.mu.Unlock()
		call, done := context.WithTimeout(ctx, 4*time.Second)
		status, _, err := s.network.Control(call, http.MethodPut, "/servers/"+s.ID, body)
		done()
		if err == nil && status == http.StatusOK {
			select {
			case s.Acked <- struct{}{}:
			default:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatEvery):
		}
	}
}

// Manifest is a configuration of one service with a shelved, a resendable and a once-only route.
func Manifest(edition, base int, service string, extra ...string) []byte {
	based := `"0"`
	if base > 0 {
		based = fmt.Sprintf(`"r%d"`, base)
	}
	routes := []string{}
	for _, r := range append([]string{"shelved", "resendable", "once_only"}, extra...) {
		kind := r
		if r != "shelved" && r != "resendable" && r != "once_only" {
			kind = "resendable"
		}
		routes = append(routes, fmt.Sprintf(`{"parcel_kind":"routes","label":{"name":"r-%[1]s"},"manifest":{"domain":"shop.example","path_prefix":"/%[1]s/",`+
			`"mail_class":"%[2]s","timeout":"2000ms","target":"500ms","precedence":1,"carrier":"%[3]s","tries":2,"shelf":"20s"}}`, r, kind, service))
	}
	return fmt.Appendf(nil, `{"edition":"r%d","based_on":%s,"parcels":[%s,{"parcel_kind":"carriers","label":{"name":"%s"},"manifest":{"health_path":"/health","line_cap":130,"rate_per_s":200}}]}`,
		edition, based, strings.Join(routes, ","), service)
}

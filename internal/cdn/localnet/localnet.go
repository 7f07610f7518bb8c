// Package localnet starts a small delivery network on this machine: real processes of the three programs, each machine on its own
// loopback address, with stand-in servers that register and send heartbeats as real ones do. Tests, the soak and `localnet up` use it.
package localnet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/cdn/bootconfig"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("localnet")

// Shape configures the size and the settings of a network.
type Shape struct {
	Core, Edges int
	Stores      int // cache routers without clients, whose links are far wider than the 12 Mbit/s of the edges; 0: all links are alike
	Zones       int // machines are assigned to zones round-robin
	Dir         string
	Subnet      byte // the network uses 127.0.Subnet.x, so that several fit on one machine; 0: the first free subnet
	// Program returns the command line of a program; it is run with CEDARMAST_CONFIG set.
	Program      func(name string) []string
	Out          io.Writer // receives all processes' logs; nil: none
	Metrics      bool      // processes export their metrics; see ReadMetrics
	UsageReports bool      // the tenants' usage is reported to a stand-in platform
	// Time limits that are written to the settings; 0: left out, so that the default applies.
	Revoke, Contact time.Duration
	// DrawLogReader returns how the reader of the log of a process that is about to start behaves; nil: all read everything.
	DrawLogReader func() LogReader
	// Allow returns the allowances of each process on a machine; nil: 256 MB and 1024 file handles.
	Allow func(m *Machine) Allowances
	// Started is called after the first start of each machine, before the next one is started; may be nil.
	Started func(n *Network, m *Machine)
}

// The ports are the same on all machines, as in production.
const (
	clientPort        = 8144
	readinessPort     = 8140
	controlPort       = 8146
	firstSparePort    = 7660
	heartbeatInterval = 300 * time.Millisecond
)

// Allowances are what a process is told to keep within.
type Allowances struct{ MemoryMB, FileHandles int }

// defaultAllowances are those of all processes unless Shape names others.
var defaultAllowances = Allowances{MemoryMB: 256, FileHandles: 1024}

// allowancesOf returns the allowances of a machine's processes.
func (n *Network) allowancesOf(m *Machine) Allowances {
	if n.Allow == nil {
		return defaultAllowances
	}
	return n.Allow(m)
}

// settingsFile is the name of the settings file in a machine's directory.
const settingsFile = "boot.conf"

// metricsPorts holds the port on which each program exports its metrics.
var metricsPorts = map[string]int{"edge": 9464, "configstore": 9465, "registry": 9466}

// Machine is one loopback address with its processes.
type Machine struct {
	Name, IP, Zone string
	Core, Store    bool
	Dir            string
	firstStart     bool

	mu           sync.Mutex
	processes    map[string]*process
	predecessors []*process // that still run beside their successors
	reloads      int        // how often its settings file was rewritten by Reload
}

// Network is a running network.
type Network struct {
	Shape
	Machines    []*Machine
	Platform    *Platform // nil without Shape.UsageReports
	subnetClaim io.Closer // reserves its addresses
	client      *http.Client
	started     time.Time
	outMu       sync.Mutex // guards Out
	mu          sync.Mutex
	servers     []*Server
	unexpected  []string              // processes that ended by themselves
	peakMemory  map[string]MemoryPeak // by machine and program, of the processes that were seen
	endedEarly  int                   // processes that a signal ended before their program's first instruction
}

// Start reserves a subnet, writes the settings and starts all processes.
func Start(shape Shape) (*Network, error) {
	subnet, claim, err := ClaimSubnet(shape.Subnet)
	if err != nil {
		return nil, err
	}
	shape.Subnet = subnet
	n := &Network{Shape: shape, subnetClaim: claim, client: boundedhttp.NewClient(3*time.Second, true), started: time.Now(),
		peakMemory: map[string]MemoryPeak{}}
	for i := range shape.Core + shape.Edges + shape.Stores {
		m := &Machine{IP: fmt.Sprintf("127.0.%d.%d", shape.Subnet, i+1), Zone: fmt.Sprint("zone-", i%max(shape.Zones, 1)+1),
			Core: i < shape.Core, Store: i >= shape.Core+shape.Edges,
			firstStart: true, processes: map[string]*process{}}
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
		if err := n.StartMachine(m); err != nil {
			n.Stop()
			return nil, err
		}
		if shape.Started != nil {
			shape.Started(n, m)
		}
	}
	return n, nil
}

// settingsText returns the contents of a machine's settings file.
func (n *Network) settingsText(m *Machine) string {
	var seeds []string
	zones := map[string]bool{}
	for i, c := range n.Machines {
		if i < min(n.Core, 3) {
			seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, controlPort))
		}
		zones[c.Zone] = true
	}
	var b strings.Builder
	writeLine := func(key string, value any) { fmt.Fprintf(&b, "%s=%v\n", key, value) }
	writeLine("self.node", m.Name)
	writeLine("self.ip", m.IP)
	writeLine("self.zone", m.Zone)
	writeLine("self.region", "here")
	writeLine("self.first_start", m.firstStart)
	writeLine("self.allowances.memory_mb", n.allowancesOf(m).MemoryMB)
	writeLine("self.allowances.file_handles", n.allowancesOf(m).FileHandles)
	if m.Core {
		writeLine("self.data_dir", filepath.Join(m.Dir, "data"))
		writeLine("network.listen_on.control_dock", fmt.Sprintf("%s:%d", m.IP, controlPort))
	} else if !m.Store {
		if n.Stores > 0 {
			writeLine("self.allowances.link_mbps", 12)
		}
		writeLine("self.serves", "counter")
		writeLine("network.listen_on.counter", fmt.Sprintf("%s:%d", m.IP, clientPort))
		writeLine("network.listen_on.readiness", fmt.Sprintf("%s:%d", m.IP, readinessPort))
	}
	writeLine("network.spare_ports", fmt.Sprintf("%d,%d", firstSparePort, firstSparePort+15))
	writeLine("network.seed_nodes", strings.Join(rotated(seeds, m.reloads), ","))
	for z := range zones {
		writeLine("network.zones."+z, "here")
	}
	writeLine("yard.heartbeat", heartbeatInterval.String())
	if n.UsageReports {
		n.platformSettings(writeLine)
	}
	n.writeTimings(writeLine)
	return b.String()
}

// WipeDisk deletes the data directory of a machine that is down.
func (n *Network) WipeDisk(m *Machine) error { return os.RemoveAll(filepath.Join(m.Dir, "data")) }

// Stop stops all servers, kills all processes and releases the addresses.
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
	n.subnetClaim.Close()
}

// Control calls the control API of one core machine after the other, as an operator would, until one answers with a status below 500 or the
// context ends.
func (n *Network) Control(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	for attempt := 0; ; attempt++ {
		m := n.Machines[attempt%n.Core]
		status, text, err := n.ControlAt(ctx, m, method, path, body)
		if err == nil && status < 500 {
			return status, text, nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, Error.New("%s %s: no conclusive answer: %w", method, path, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// ControlAt calls the control API of one core machine once, and returns the status and body.
func (n *Network) ControlAt(ctx context.Context, m *Machine, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.IP, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := readBody(resp)
	return resp.StatusCode, text, err
}

// CoreMachines returns the machines that hold the replicated log.
func (n *Network) CoreMachines() []*Machine { return n.Machines[:n.Core] }

// EdgeMachines returns the machines that clients call.
func (n *Network) EdgeMachines() []*Machine { return n.Machines[n.Core : n.Core+n.Edges] }

// StoreMachines returns the cache routers without clients.
func (n *Network) StoreMachines() []*Machine { return n.Machines[n.Core+n.Edges:] }

// Ready reports whether an edge's readiness check succeeds.
func (n *Network) Ready(m *Machine) bool {
	resp, err := n.client.Get(fmt.Sprintf("http://%s:%d/ready", m.IP, readinessPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Request sends a client's request with an id to an edge, and returns the status, header and body.
func (n *Network) Request(m *Machine, method, host, path, id string) (int, http.Header, string, error) {
	return n.sendRequest(m, method, host, path, http.Header{"Try-Id": {id}})
}

// RequestWithKey sends a GET request with a key to an edge, and returns the status.
func (n *Network) RequestWithKey(m *Machine, host, path, id, key string) (int, error) {
	status, _, _, err := n.sendRequest(m, http.MethodGet, host, path, http.Header{"Try-Id": {id}, "Key": {key}})
	return status, err
}

func (n *Network) sendRequest(m *Machine, method, host, path string, header http.Header) (int, http.Header, string, error) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.IP, clientPort, path), nil)
	if err != nil {
		return 0, nil, "", err
	}
	req.Host, req.Header = host, header
	req.Header.Set("Time-Left", "2000")
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	body, err := readBody(resp)
	return resp.StatusCode, resp.Header, string(body), err
}

// maxBodyBytes bounds the body of an answer of the network's processes.
const maxBodyBytes = 64 << 20

// readBody reads the body of an answer.
func readBody(resp *http.Response) ([]byte, error) {
	return boundedhttp.ReadBody(resp.Body, resp.ContentLength, maxBodyBytes, boundedhttp.Uncharged{})
}

// ReadMetrics returns the metrics of all processes of a machine in the Prometheus text format. It requires Shape.Metrics.
func (n *Network) ReadMetrics(ctx context.Context, m *Machine) (string, error) {
	metrics := ""
	for _, p := range m.programs() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/metrics", m.IP, metricsPorts[p]), nil)
		if err != nil {
			return "", err
		}
		resp, err := n.client.Do(req)
		if err != nil {
			return "", err
		}
		text, err := readBody(resp)
		resp.Body.Close()
		if err != nil {
			return "", err
		}
		metrics += string(text)
	}
	return metrics, nil
}

// ClientAddress returns the address and port on which a machine accepts clients' requests.
func (m *Machine) ClientAddress() string { return m.address(clientPort) }

// ReadinessAddress returns the address and port of an edge's readiness check.
func (m *Machine) ReadinessAddress() string { return m.address(readinessPort) }

// ControlAddress returns the address and port of a core machine's control API.
func (m *Machine) ControlAddress() string { return m.address(controlPort) }

// PeerAddress returns the address and port at which a machine's config store or edge takes calls from other processes.
func (m *Machine) PeerAddress() string {
	if m.Core {
		return m.address(firstSparePort + bootconfig.ConfigStorePort)
	}
	return m.address(firstSparePort + bootconfig.EdgePort)
}

// MetricsAddresses returns the addresses and ports at which a machine's processes export their metrics.
func (m *Machine) MetricsAddresses() (addresses []string) {
	for _, program := range m.programs() {
		addresses = append(addresses, m.address(metricsPorts[program]))
	}
	return addresses
}

// address returns the machine's address with a port.
func (m *Machine) address(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }

// Manifest returns a configuration of one service with a shelved, a resendable and a once_only route, and a resendable one for each
// extra name. base is the edition that it is based on; 0: none.
func Manifest(edition, base int, service string, extra ...string) []byte {
	basedOn := `"0"`
	if base > 0 {
		basedOn = fmt.Sprintf(`"r%d"`, base)
	}
	routes := []string{}
	for _, r := range append([]string{"shelved", "resendable", "once_only"}, extra...) {
		class := r
		if r != "shelved" && r != "resendable" && r != "once_only" {
			class = "resendable"
		}
		routes = append(routes, fmt.Sprintf(`{"parcel_kind":"routes","label":{"name":"r-%[1]s"},"manifest":{"domain":"shop.example","path_prefix":"/%[1]s/",`+
			`"mail_class":"%[2]s","timeout":"2000ms","target":"500ms","precedence":1,"carrier":"%[3]s","tries":2,"shelf":"20s"}}`, r, class, service))
	}
	return fmt.Appendf(nil, `{"edition":"r%d","based_on":%s,"parcels":[%s,{"parcel_kind":"carriers","label":{"name":"%s"},"manifest":{"health_path":"/health","line_cap":130,"rate_per_s":200}}]}`,
		edition, basedOn, strings.Join(routes, ","), service)
}

// Package bootconfig reads and validates the settings file that the platform gives a process. The file has lines of the form
// a.b=value. An error names its key and prevents the start; unknown keys are ignored.
package bootconfig

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// EnvSettingsPath is the environment variable that holds the path of the settings file.
const EnvSettingsPath = "CEDARMAST_CONFIG"

// Ports that processes of the network use among themselves, as offsets from the machine's first spare port.
const (
	ConfigStorePort = iota
	EdgePort
	internalPorts // number of these ports
)

// Settings holds a process's settings. Addresses are IP:port.
type Settings struct {
	Node, Role, IP, Zone, Region, DataDir           string
	FirstStart                                      bool // the whole network starts for the first time
	MemoryMB, FileHandles                           int
	Serves                                          []string
	Cores, LinkMbps                                 float64 // CPU cores that the process may use; bandwidth of the machine's link in Mbit/s
	ClientAddress, ReadinessAddress, ControlAddress string  // listen addresses: clients, readiness probes, control API; empty: not served
	FirstSparePort                                  int     // first spare port of each machine
	Seeds                                           []string
	CurrentSeeds                                    *Seeds        // the seeds that the file names at present; nil: Seeds
	HeartbeatInterval                               time.Duration // interval at which servers send heartbeats
	Limits                                          Limits
	Platform                                        Platform
	MetricsEndpoint                                 string // PORT/PATH of the metrics endpoint, from the command line; empty: none
}

// Seeds holds the addresses of the core machines that the settings file names. It may change while a process runs: a process that was
// partitioned while all core machines were replaced has no other way to find the new ones.
type Seeds struct{ current atomic.Pointer[[]string] }

// Set replaces the list.
func (s *Seeds) Set(addresses []string) { s.current.Store(&addresses) }

// LatestSeeds returns the seeds that the settings file names at present.
func (s Settings) LatestSeeds() []string {
	if s.CurrentSeeds != nil {
		if current := s.CurrentSeeds.current.Load(); current != nil {
			return *current
		}
	}
	return s.Seeds
}

// Limits holds the limits and time bounds that the operators set.
type Limits struct {
	// Contact is how long a machine may be without a confirmed state before it counts as disconnected. Grace is the time that a
	// process has to shut down. Edition is the time after which every connected router must know an acknowledged configuration.
	// StaleSlack is how long after its expiry an object may still be served.
	Contact, Drain, Grace, Edition, Purge, StaleSlack time.Duration
	// RevokeTimeout is the longest time that machines run requests with a key after its removal is acknowledged; 0: no bound.
	RevokeTimeout time.Duration
	// The rate of requests to a service, measured over CeilingWindow, may exceed its ceiling by the factor CeilingExcess.
	CeilingWindow          time.Duration
	CeilingExcess          float64
	RetryRatio, RetrySlack float64
	TolerateFailures       int // number of core machines whose simultaneous loss must be survived
}

// Platform holds the settings of the operators' platform API, which is called for the duties that it names.
type Platform struct {
	Address      string   // IP:port; empty: no platform
	Duties       []string // calls that one machine at a time makes for the whole network
	DutyPerS     float64  // maximum rate of these calls per second, over all machines
	ReportWindow time.Duration
	UsageDelay   time.Duration // time from the end of a window until its report is due
	DutyLease    time.Duration // minimum time between two holders of a duty, so that they never act in turn
}

// UsageDuty is the duty to report the tenants' usage.
const UsageDuty = "usage"

// ReportsUsage reports whether the tenants' usage is to be sent to the platform.
func (p Platform) ReportsUsage() bool { return p.Address != "" && slices.Contains(p.Duties, UsageDuty) }

// Read reads and validates a settings file.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(string(text))
}

// Parse parses and validates the text of a settings file. The error lists all invalid keys.
func Parse(text string) (Settings, error) {
	k := koanf.New("\x00") // keys are flat: both a.b and a.b.c may have a value
	values := map[string]any{}
	lines := bufio.NewScanner(strings.NewReader(text))
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Settings{}, Error.New("line %d: missing '='", n)
		}
		values[strings.TrimSpace(key)] = strings.TrimSpace(value)
	}
	if err := lines.Err(); err != nil {
		return Settings{}, Error.Wrap(err)
	}
	if err := k.Load(confmap.Provider(values, "\x00"), nil); err != nil {
		return Settings{}, Error.Wrap(err)
	}
	r := reader{k: k}
	s := Settings{
		Node: r.required("self.node"), Role: k.String("self.role"), IP: r.ip("self.ip"), Zone: r.required("self.zone"),
		Serves: splitList(k.String("self.serves")), Region: k.String("self.region"), DataDir: k.String("self.data_dir"),
		FirstStart: r.boolean("self.first_start"),
		MemoryMB:   r.positiveInt("self.allowances.memory_mb", 256), FileHandles: r.positiveInt("self.allowances.file_handles", 1024),
		Cores:         r.number("self.allowances.cpu_share", 1) * max(r.number("self.allowances.cores", 1), 1),
		LinkMbps:      r.number("self.allowances.link_mbps", 1000),
		ClientAddress: r.address("network.listen_on.counter"), ReadinessAddress: r.address("network.listen_on.readiness"),
		ControlAddress: r.address("network.listen_on.control_dock"), Seeds: r.seeds("network.seed_nodes"),
		FirstSparePort:    r.ports("network.spare_ports"),
		HeartbeatInterval: r.duration("yard.heartbeat", 1500*time.Millisecond),
		Limits: Limits{Contact: r.duration("tariff.timetable.contact", 3*time.Second),
			Drain: r.duration("tariff.timetable.drain", 2*time.Second), Grace: r.duration("tariff.timetable.grace", 6*time.Second),
			Edition: r.duration("tariff.timetable.edition_time", 2*time.Second),
			Purge:   r.duration("tariff.timetable.purge", 2*time.Second), StaleSlack: r.duration("tariff.timetable.stale_slack", 2*time.Second),
			CeilingWindow: r.duration("tariff.timetable.ceiling_window", 5*time.Second),
			CeilingExcess: r.number("tariff.timetable.ceiling_excess", 1.1),
			RetryRatio:    r.number("tariff.timetable.retry_ratio", 0.2), RetrySlack: r.number("tariff.timetable.retry_slack", 30),
			TolerateFailures: r.nonNegativeInt("tariff.tolerate.machines", 1)},
	}
	if r.boolean("tariff.timetable.revocation_global") {
		s.Limits.RevokeTimeout = r.duration("tariff.timetable.revoke", defaultRevoke)
	}
	s.Platform = r.platform()
	return s, r.errors.Err()
}

const (
	defaultRevoke       = 5 * time.Second
	defaultDutyPerS     = 10
	defaultReportWindow = 5 * time.Second
	defaultUsageDelay   = 10 * time.Second
	defaultLease        = 3 * time.Second
)

// platform reads the settings of the platform API.
func (r *reader) platform() Platform {
	return Platform{Address: r.address("yard.yard_api.address"), Duties: splitList(r.k.String("yard.yard_api.duties")),
		DutyPerS:     r.number("yard.yard_api.duty_per_s", defaultDutyPerS),
		ReportWindow: max(r.duration("tariff.timetable.report_window", defaultReportWindow), time.Second),
		UsageDelay:   r.duration("tariff.timetable.usage_delay", defaultUsageDelay),
		DutyLease:    r.duration("tariff.timetable.lease", defaultLease)}
}

// reader reads values and collects the errors.
type reader struct {
	k      *koanf.Koanf
	errors errs.Group
}

// addError records an error of a key.
func (r *reader) addError(key, format string, args ...any) {
	r.errors.Add(Error.New("%s: %s", key, fmt.Sprintf(format, args...)))
}

// required reads a text that must not be empty.
func (r *reader) required(key string) string {
	v := r.k.String(key)
	if v == "" {
		r.addError(key, "missing")
	}
	return v
}

// ip reads a required IP address.
func (r *reader) ip(key string) string {
	v := r.required(key)
	if v != "" && net.ParseIP(v) == nil {
		r.addError(key, "%q is not an IP address", v)
	}
	return v
}

// address reads an optional IP:port.
func (r *reader) address(key string) string {
	v := r.k.String(key)
	if v != "" {
		r.checkAddress(key, v)
	}
	return v
}

// checkAddress records an error if v is not a valid IP:port.
func (r *reader) checkAddress(key, v string) {
	host, port, err := net.SplitHostPort(v)
	n, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || n < 1 || n > 65535 {
		r.addError(key, "%q is not an IP:port address", v)
	}
}

// seeds reads a required list of IP:port, separated by commas.
func (r *reader) seeds(key string) (addresses []string) {
	for v := range strings.SplitSeq(r.required(key), ",") {
		if v = strings.TrimSpace(v); v != "" {
			r.checkAddress(key, v)
			addresses = append(addresses, v)
		}
	}
	return addresses
}

// ports reads a port range FIRST,LAST of at least portsNeeded ports and returns the first one.
func (r *reader) ports(key string) int {
	firstText, lastText, _ := strings.Cut(r.required(key), ",")
	first, firstErr := strconv.Atoi(strings.TrimSpace(firstText))
	last, lastErr := strconv.Atoi(strings.TrimSpace(lastText))
	if firstErr != nil || lastErr != nil || first < 1 || last > 65535 || last-first+1 < internalPorts {
		r.addError(key, "expected FIRST,LAST: a range of at least %d ports", internalPorts)
	}
	return first
}

// boolean reads an optional boolean; false if unset.
func (r *reader) boolean(key string) bool {
	v := r.k.String(key)
	if v == "" {
		return false
	}
	value, err := strconv.ParseBool(v)
	if err != nil {
		r.addError(key, "%q is not a boolean", v)
	}
	return value
}

// positiveInt reads an optional positive integer.
func (r *reader) positiveInt(key string, defaultValue int) int {
	v := r.k.String(key)
	if v == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	if err != nil || n <= 0 {
		r.addError(key, "%q is not a positive integer", v)
	}
	return n
}

// nonNegativeInt reads an optional integer that is not negative.
func (r *reader) nonNegativeInt(key string, defaultValue int) int {
	if r.k.String(key) == "0" {
		return 0
	}
	return r.positiveInt(key, defaultValue)
}

// number reads an optional number that is not negative.
func (r *reader) number(key string, defaultValue float64) float64 {
	v := r.k.String(key)
	if v == "" {
		return defaultValue
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 {
		r.addError(key, "%q is not a non-negative number", v)
	}
	return n
}

// duration reads an optional duration.
func (r *reader) duration(key string, defaultValue time.Duration) time.Duration {
	v := r.k.String(key)
	if v == "" {
		return defaultValue
	}
	d, err := ParseDuration(v)
	if err != nil {
		r.addError(key, "%v", err)
	}
	return d
}

// ParseDuration parses a duration in ms or s, such as 1500ms or 2.5s.
func ParseDuration(text string) (time.Duration, error) {
	unit, number := time.Millisecond, strings.TrimSuffix(text, "ms")
	if number == text {
		if unit, number = time.Second, strings.TrimSuffix(text, "s"); number == text {
			return 0, fmt.Errorf("%.20q: a number and ms or s expected", text)
		}
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil || !(n >= 0) || n > 1e9 {
		return 0, fmt.Errorf("%.20q: a number and ms or s expected", text)
	}
	return time.Duration(n * float64(unit)), nil
}

// Host returns the IP of a validated address.
func Host(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// InternalAddress returns the address at which the network's processes reach the config store (port ConfigStorePort) or the edge (port
// EdgePort) of the machine with that IP.
func (s Settings) InternalAddress(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.FirstSparePort+port))
}

// splitList splits a list at commas and spaces.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

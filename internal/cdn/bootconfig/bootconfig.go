// Package bootconfig reads and checks the settings file that the platform gives a process: lines of the form a.b=value. A fault
// names its key and ends the start; keys that nobody here knows pass.
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

// EnvPath names the variable that holds the path of the settings file.
const EnvPath = "CEDARMAST_CONFIG"

// Ports of a machine that the system's processes use among themselves, counted from the first of its spare ones.
const (
	ConfigStorePort = iota
	EdgePort
	portsNeeded
)

// Settings is what a process is told. Times are durations, addresses are IP:port.
type Settings struct {
	Node, Role, IP, Zone, Region, DataDir string
	FirstStart                            bool // the whole system starts for the first time
	MemoryMB, FileHandles                 int
	Serves                                []string
	Cores, LinkMbps                       float64 // of the machine: what a process of it may use of a core, and its link
	Counter, Readiness, Control           string  // what is listened on; empty: not served
	SparePort                             int     // the first
	Seeds                                 []string
	Named                                 *Seeds        // those that the file names by now; nil: Seeds
	Heartbeat                             time.Duration // in which servers tell of themselves
	Bounds                                Bounds
	Platform                              Platform
	Metrics                               string // PORT/PATH where figures are told; empty: nowhere. From the command line
}

// Seeds are the core machines that the settings file names, which may change while a process runs: one that was cut off while all of the core
// was exchanged finds the new one by no other way.
type Seeds struct{ now atomic.Pointer[[]string] }

// Set takes a new list.
func (s *Seeds) Set(all []string) { s.now.Store(&all) }

// SeedsNow are the seeds that the settings file names by now.
func (s Settings) SeedsNow() []string {
	if s.Named != nil {
		if now := s.Named.now.Load(); now != nil {
			return *now
		}
	}
	return s.Seeds
}

// Bounds are the figures of the rules, as the operators gave them.
type Bounds struct {
	Contact, Drain, Grace, Edition, Purge, StaleSlack time.Duration
	Revoke                                            time.Duration // after a key's removal is acknowledged no machine runs requests with it; 0: no such bound
	CeilingWindow                                     time.Duration
	CeilingExcess                                     float64
	RetryRatio, RetrySlack                            float64
	Tolerate                                          int // machines that count whose loss at once must be borne
}

// Platform is the operators' platform, which is called for the duties that it names.
type Platform struct {
	Address      string   // IP:port; empty: there is none
	Duties       []string // calls that fall to one machine at a time
	DutyPerS     float64  // such calls a second that it takes from all machines together
	ReportWindow time.Duration
	UsageDelay   time.Duration // after a window's end its report is due
	Lease        time.Duration // within which two holders of a duty must not act by turns
}

// UsageDuty is the duty to report the tenants' requests.
const UsageDuty = "usage"

// ReportsUsage tells whether the tenants' requests are to be reported to the platform.
func (p Platform) ReportsUsage() bool { return p.Address != "" && slices.Contains(p.Duties, UsageDuty) }

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(string(text))
}

// Parse checks the text of a settings file. All faults are told at once.
func Parse(text string) (Settings, error) {
	k := koanf.New("\x00") // keys are flat: a value may stand at a key and below it
	flat := map[string]any{}
	lines := bufio.NewScanner(strings.NewReader(text))
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Settings{}, Error.New("line %d: no equals sign", n)
		}
		flat[strings.TrimSpace(key)] = strings.TrimSpace(value)
	}
	if err := lines.Err(); err != nil {
		return Settings{}, Error.Wrap(err)
	}
	if err := k.Load(confmap.Provider(flat, "\x00"), nil); err != nil {
		return Settings{}, Error.Wrap(err)
	}
	r := reader{k: k}
	s := Settings{
		Node: r.text("self.node"), Role: k.String("self.role"), IP: r.ip("self.ip"), Zone: r.text("self.zone"),
		Serves: list(k.String("self.serves")), Region: k.String("self.region"), DataDir: k.String("self.data_dir"),
		FirstStart: r.truth("self.first_start"),
		MemoryMB:   r.whole("self.allowances.memory_mb", 256), FileHandles: r.whole("self.allowances.file_handles", 1024),
		Cores:    r.number("self.allowances.cpu_share", 1) * max(r.number("self.allowances.cores", 1), 1),
		LinkMbps: r.number("self.allowances.link_mbps", 1000),
		Counter:  r.address("network.listen_on.counter"), Readiness: r.address("network.listen_on.readiness"),
		Control: r.address("network.listen_on.control_dock"), Seeds: r.seeds("network.seed_nodes"),
		SparePort: r.ports("network.spare_ports"),
		Heartbeat: r.span("yard.heartbeat", 1500*time.Millisecond),
		Bounds: Bounds{Contact: r.span("tariff.timetable.contact", 3*time.Second),
			Drain: r.span("tariff.timetable.drain", 2*time.Second), Grace: r.span("tariff.timetable.grace", 6*time.Second),
			Edition: r.span("tariff.timetable.edition_time", 2*time.Second),
			Purge:   r.span("tariff.timetable.purge", 2*time.Second), StaleSlack: r.span("tariff.timetable.stale_slack", 2*time.Second),
			CeilingWindow: r.span("tariff.timetable.ceiling_window", 5*time.Second),
			CeilingExcess: r.number("tariff.timetable.ceiling_excess", 1.1),
			RetryRatio:    r.number("tariff.timetable.retry_ratio", 0.2), RetrySlack: r.number("tariff.timetable.retry_slack", 30),
			Tolerate: r.whole("tariff.tolerate.machines", 1)},
	}
	if r.truth("tariff.timetable.revocation_global") {
		s.Bounds.Revoke = r.span("tariff.timetable.revoke", usualRevoke)
	}
	s.Platform = r.platform()
	return s, r.faults.Err()
}

const (
	usualRevoke       = 5 * time.Second
	usualDutyPerS     = 10
	usualReportWindow = 5 * time.Second
	usualUsageDelay   = 10 * time.Second
	usualLease        = 3 * time.Second
)

// platform reads how the platform is called.
func (r *reader) platform() Platform {
	return Platform{Address: r.address("yard.yard_api.address"), Duties: list(r.k.String("yard.yard_api.duties")),
		DutyPerS:     r.number("yard.yard_api.duty_per_s", usualDutyPerS),
		ReportWindow: max(r.span("tariff.timetable.report_window", usualReportWindow), time.Second),
		UsageDelay:   r.span("tariff.timetable.usage_delay", usualUsageDelay),
		Lease:        r.span("tariff.timetable.lease", usualLease)}
}

// reader takes values out and collects the faults.
type reader struct {
	k      *koanf.Koanf
	faults errs.Group
}

func (r *reader) fault(key, format string, args ...any) {
	r.faults.Add(Error.New("%s: %s", key, fmt.Sprintf(format, args...)))
}

func (r *reader) text(key string) string {
	v := r.k.String(key)
	if v == "" {
		r.fault(key, "missing")
	}
	return v
}

func (r *reader) ip(key string) string {
	v := r.text(key)
	if v != "" && net.ParseIP(v) == nil {
		r.fault(key, "%q is no IP address", v)
	}
	return v
}

func (r *reader) address(key string) string {
	v := r.k.String(key)
	if v != "" {
		r.checkAddress(key, v)
	}
	return v
}

func (r *reader) checkAddress(key, v string) {
	host, port, err := net.SplitHostPort(v)
	n, bad := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || bad != nil || n < 1 || n > 65535 {
		r.fault(key, "%q is no address", v)
	}
}

func (r *reader) seeds(key string) (all []string) {
	for v := range strings.SplitSeq(r.text(key), ",") {
		if v = strings.TrimSpace(v); v != "" {
			r.checkAddress(key, v)
			all = append(all, v)
		}
	}
	return all
}

func (r *reader) ports(key string) int {
	from, to, _ := strings.Cut(r.text(key), ",")
	a, bad1 := strconv.Atoi(strings.TrimSpace(from))
	b, bad2 := strconv.Atoi(strings.TrimSpace(to))
	if bad1 != nil || bad2 != nil || a < 1 || b > 65535 || b-a+1 < portsNeeded {
		r.fault(key, "two ports expected, with %d at least from the first to the second", portsNeeded)
	}
	return a
}

func (r *reader) truth(key string) bool {
	v := r.k.String(key)
	if v == "" {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.fault(key, "%q is neither true nor false", v)
	}
	return b
}

func (r *reader) whole(key string, unset int) int {
	v := r.k.String(key)
	if v == "" {
		return unset
	}
	n, err := strconv.Atoi(v)
	if err != nil || n <= 0 {
		r.fault(key, "%q is no whole number above 0", v)
	}
	return n
}

func (r *reader) number(key string, unset float64) float64 {
	v := r.k.String(key)
	if v == "" {
		return unset
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 {
		r.fault(key, "%q is no number", v)
	}
	return n
}

func (r *reader) span(key string, unset time.Duration) time.Duration {
	v := r.k.String(key)
	if v == "" {
		return unset
	}
	d, err := Span(v)
	if err != nil {
		r.fault(key, "%v", err)
	}
	return d
}

// Span reads a time with its unit, ms or s: 1500ms, 2.5s.
func Span(text string) (time.Duration, error) {
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

// HostOf is the IP of an address that was checked.
func HostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// Inner is the address at which a machine's config store or edge is reached by the system's other processes.
func (s Settings) Inner(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.SparePort+port))
}

func list(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

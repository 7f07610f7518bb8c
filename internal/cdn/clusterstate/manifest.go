package clusterstate

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cedarmast/internal/cdn/bootconfig"
)

// The kinds of route, in the operators' words.
const (
	Resendable = "resendable"
	OnceOnly   = "once_only"
	Shelved    = "shelved"
)

const longestTimeout = 10 * time.Minute

// Version is a configuration's number; 0 is before the first.
type Version uint64

func (v Version) String() string { return "r" + strconv.FormatUint(uint64(v), 10) }

// ParseVersion reads r12; 0, r0 and nothing stand before the first.
func ParseVersion(text string) (Version, error) {
	if text == "" || text == "0" {
		return 0, nil
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(text, "r"), 10, 64)
	if err != nil || !strings.HasPrefix(text, "r") {
		return 0, fmt.Errorf("%.20q is no version", text)
	}
	return Version(n), nil
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route is one route. Times are durations; Shelf is how long a copy may be kept.
type Route struct {
	Name, Host, Prefix, Kind string
	Timeout, Target, Shelf   time.Duration
	Priority, Tries          int
	Unsealed                 bool    // its requests need no key
	Split                    []Share // one with all the weight, if it is not split
}

// Service is one service; rates are requests a second, of all routers together, 0 for no bound.
type Service struct {
	Name, HealthPath string
	ConnCap          int
	RatePerS         float64
}

// UsualLimits hold where a configuration says nothing.
var UsualLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, Header: 3 * time.Second, Idle: 15 * time.Second}

// Limits are what a client may send, and how long it may take or rest.
type Limits struct {
	HeaderBytes, BodyBytes int64
	Header, Idle           time.Duration
}

// Manifest is a configuration as it is used.
type Manifest struct {
	Version, Base Version
	Routes        []Route
	Services      []Service
	Tenants       []Tenant
	Limits        Limits
}

// The wire's form.
type (
	wireManifest struct {
		Edition wireText     `json:"edition"`
		BasedOn wireText     `json:"based_on"`
		Parcels []wireParcel `json:"parcels"`
	}
	wireParcel struct {
		Kind  string `json:"parcel_kind"`
		Label struct {
			Name string `json:"name"`
		} `json:"label"`
		Spec json.RawMessage `json:"manifest"`
	}
	wireRoute struct {
		Domain     string   `json:"domain"`
		Prefix     string   `json:"path_prefix"`
		Kind       string   `json:"mail_class"`
		Timeout    wireText `json:"timeout"`
		Target     wireText `json:"target"`
		Precedence int      `json:"precedence"`
		Carrier    string   `json:"carrier"`
		Split      []struct {
			Carrier string  `json:"carrier"`
			Share   float64 `json:"share"`
		} `json:"split_among"`
		Tries    int      `json:"tries"`
		Shelf    wireText `json:"shelf"`
		Unsealed bool     `json:"unsealed"`
	}
	wireSender struct {
		Stamps     []string `json:"stamps"`
		Precedence int      `json:"precedence"`
	}
	wireCarrier struct {
		HealthPath string  `json:"health_path"`
		LineCap    int     `json:"line_cap"`
		RatePerS   float64 `json:"rate_per_s"`
	}
	wireAllowances struct {
		EnvelopeBytes int64    `json:"envelope_bytes"`
		ParcelBytes   int64    `json:"parcel_bytes"`
		Envelope      wireText `json:"envelope"`
		Idle          wireText `json:"idle"`
	}
)

// wireText is a text, or a number that stands for one.
type wireText string

func (t *wireText) UnmarshalJSON(b []byte) error {
	var s string
	if len(b) > 0 && b[0] == '"' {
		if err := json.Unmarshal(b, &s); err != nil {
			return err
		}
		*t = wireText(s)
		return nil
	}
	var n json.Number
	if err := json.Unmarshal(b, &n); err != nil {
		return fmt.Errorf("neither a text nor a number: %.20q", b)
	}
	*t = wireText(n.String())
	return nil
}

func (t wireText) span(field string) (time.Duration, error) {
	if t == "" || t == "0" {
		return 0, nil
	}
	d, err := bootconfig.Span(string(t))
	if err != nil {
		return 0, fmt.Errorf("%s: %w", field, err)
	}
	return d, nil
}

// Editions reads a configuration's two versions alone.
func Editions(body []byte) (edition, base Version, err error) {
	var w struct {
		Edition wireText `json:"edition"`
		BasedOn wireText `json:"based_on"`
	}
	if err := unmarshalWhole(body, &w); err != nil {
		return 0, 0, err
	}
	return editions(w.Edition, w.BasedOn)
}

func editions(text, on wireText) (edition, base Version, err error) {
	if edition, err = ParseVersion(string(text)); err != nil {
		return 0, 0, fmt.Errorf("edition: %w", err)
	}
	if base, err = ParseVersion(string(on)); err != nil {
		return 0, 0, fmt.Errorf("based_on: %w", err)
	}
	return edition, base, nil
}

func unmarshalWhole(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("not readable whole: %w", err)
	}
	return nil
}

// ParseManifest reads and checks a configuration. The error names the parcel and the field.
func ParseManifest(body []byte) (*Manifest, error) {
	var w wireManifest
	if err := unmarshalWhole(body, &w); err != nil {
		return nil, err
	}
	edition, base, err := editions(w.Edition, w.BasedOn)
	if err != nil {
		return nil, err
	}
	m := newManifest(edition, base)
	for i, p := range w.Parcels {
		if err := m.takeParcel(p); err != nil {
			return nil, fmt.Errorf("parcels[%d] (%s %s): %w", i, p.Kind, p.Label.Name, err)
		}
	}
	return m, m.check()
}

func newManifest(edition, base Version) *Manifest {
	return &Manifest{Version: edition, Base: base,
		Limits: UsualLimits}
}

func (m *Manifest) takeParcel(p wireParcel) error {
	switch p.Kind {
	case "routes":
		return m.addRoute(p)
	case "carriers":
		return m.addService(p)
	case "senders":
		return m.addTenant(p)
	case "allowances":
		return m.setLimits(p)
	}
	return nil
}

func (m *Manifest) addRoute(p wireParcel) error {
	var w wireRoute
	if err := json.Unmarshal(p.Spec, &w); err != nil {
		return err
	}
	r := Route{Name: p.Label.Name, Host: strings.ToLower(w.Domain), Prefix: w.Prefix, Kind: w.Kind, Priority: w.Precedence,
		Tries: max(w.Tries, 1), Unsealed: w.Unsealed}
	var err error
	if r.Timeout, err = w.Timeout.span("timeout"); err != nil {
		return err
	}
	if r.Target, err = w.Target.span("target"); err != nil {
		return err
	}
	if r.Shelf, err = w.Shelf.span("shelf"); err != nil {
		return err
	}
	for _, s := range w.Split {
		if s.Share < 0 {
			return fmt.Errorf("split_among: share of %s under 0", s.Carrier)
		}
		r.Split = append(r.Split, Share{s.Carrier, s.Share})
	}
	if len(w.Split) == 0 && w.Carrier != "" {
		r.Split = []Share{{w.Carrier, 1}}
	}
	m.Routes = append(m.Routes, r)
	return nil
}

func (m *Manifest) addService(p wireParcel) error {
	var w wireCarrier
	if err := json.Unmarshal(p.Spec, &w); err != nil {
		return err
	}
	m.Services = append(m.Services, Service{p.Label.Name, w.HealthPath, w.LineCap, w.RatePerS})
	return nil
}

func (m *Manifest) setLimits(p wireParcel) error {
	var w wireAllowances
	if err := json.Unmarshal(p.Spec, &w); err != nil {
		return err
	}
	if w.EnvelopeBytes > 0 {
		m.Limits.HeaderBytes = w.EnvelopeBytes
	}
	if w.ParcelBytes > 0 {
		m.Limits.BodyBytes = w.ParcelBytes
	}
	for _, f := range []struct {
		name string
		text wireText
		to   *time.Duration
	}{{"envelope", w.Envelope, &m.Limits.Header}, {"idle", w.Idle, &m.Limits.Idle}} {
		d, err := f.text.span(f.name)
		if err != nil {
			return err
		}
		if d > 0 {
			*f.to = d
		}
	}
	return nil
}

// check holds a configuration to the operators' list of what is invalid.
func (m *Manifest) check() error {
	services := map[string]bool{}
	for _, s := range m.Services {
		services[s.Name] = true
	}
	places := map[string]string{}
	for _, r := range m.Routes {
		total := 0.0
		for _, s := range r.Split {
			if total += s.Weight; !services[s.Service] {
				return fmt.Errorf("route %s: carrier: unknown service %q", r.Name, s.Service)
			}
		}
		place := r.Host + " " + r.Prefix
		switch {
		case r.Kind != Resendable && r.Kind != OnceOnly && r.Kind != Shelved:
			return fmt.Errorf("route %s: mail_class: %q is none of the known ones", r.Name, r.Kind)
		case total <= 0:
			return fmt.Errorf("route %s: split_among: the shares add up to 0", r.Name)
		case r.Timeout <= 0:
			return fmt.Errorf("route %s: timeout: 0", r.Name)
		case r.Timeout > longestTimeout:
			return fmt.Errorf("route %s: timeout: over ten minutes", r.Name)
		case places[place] != "":
			return fmt.Errorf("route %s: path_prefix: same place as %s", r.Name, places[place])
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return fmt.Errorf("route %s: path_prefix: %q does not begin and end with a slash", r.Name, r.Prefix)
		}
		places[place] = r.Name
	}
	return checkTenants(m.Tenants)
}

// Table finds the route of a request. It is made once for each configuration and not changed.
type Table struct {
	hosts map[string]map[string]*Route
}

// NewTable returns the table of a configuration.
func NewTable(m *Manifest) *Table {
	t := &Table{hosts: map[string]map[string]*Route{}}
	for i := range m.Routes {
		r := &m.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		t.hosts[r.Host][r.Prefix] = r
	}
	return t
}

// Find returns the route of the host with the longest prefix that begins the path; nil if there is none. The cost grows with
// the path's length, not with the number of routes.
func (t *Table) Find(host, path string) *Route {
	prefixes := t.hosts[strings.ToLower(host)]
	for end := len(path); prefixes != nil; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if r := prefixes[path[:i+1]]; r != nil {
			return r
		}
		end = i
	}
	return nil
}

// Pick chooses a service by the shares, with a number from 0 to 1.
func (r *Route) Pick(at float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	for i := len(r.Split) - 1; i >= 0; i-- {
		if r.Split[i].Weight > 0 {
			return r.Split[i].Service
		}
	}
	return ""
}

package clusterstate

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cedarmast/internal/cdn/bootconfig"
)

// Values of Route.Kind.
const (
	KindResendable = "resendable" // requests may be retried
	KindOnceOnly   = "once_only"  // a request must not be sent twice
	KindCacheable  = "shelved"    // responses are cached
)

const maxTimeout = 10 * time.Minute

// Version is the number of a configuration; 0 stands for the state before the first one.
type Version uint64

// String returns the version as configurations write it, such as r12.
func (v Version) String() string { return "r" + strconv.FormatUint(uint64(v), 10) }

// ParseVersion parses a version such as r12. An empty text, 0 and r0 stand for the state before the first one.
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

// ServiceShare is the fraction of a route's requests that a service gets: its weight, relative to the sum of the route's weights.
type ServiceShare struct {
	Service string
	Weight  float64
}

// Route maps the requests to a host and a path prefix to one or more services. Timeout is the time limit of a request, Target the latency
// to aim for, Shelf how long a response may be cached, and Tries the maximum number of attempts.
type Route struct {
	Name, Host, Prefix, Kind string
	Timeout, Target, Shelf   time.Duration
	Priority, Tries          int
	Unsealed                 bool           // its requests need no key
	Split                    []ServiceShare // one entry, if the route is not split among services
}

// Service is a group of servers that answer the same requests.
type Service struct {
	Name, HealthPath string
	ConnCap          int     // connections that one of its servers accepts; 0: unknown
	RatePerS         float64 // limit in requests per second, for all routers together; 0: unlimited
}

// DefaultLimits are the limits of a configuration that sets none.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, Header: 3 * time.Second, Idle: 15 * time.Second}

// Limits bound a client's requests: the size of header and body, the time for sending the header, and the idle time of a connection.
type Limits struct {
	HeaderBytes, BodyBytes int64
	Header, Idle           time.Duration
}

// Manifest is a parsed configuration.
type Manifest struct {
	Version, Base Version
	Routes        []Route
	Services      []Service
	Tenants       []Tenant
	Limits        Limits
}

// The JSON form of a configuration. Each parcel is a route, a service (carrier), a tenant (sender) or the limits (allowances).
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

// wireText is a JSON string, or a number that is read as its text.
type wireText string

// UnmarshalJSON accepts a string or a number.
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

// duration parses a duration; an empty text and 0 are 0. An error names the field.
func (t wireText) duration(field string) (time.Duration, error) {
	if t == "" || t == "0" {
		return 0, nil
	}
	d, err := bootconfig.ParseDuration(string(t))
	if err != nil {
		return 0, fmt.Errorf("%s: %w", field, err)
	}
	return d, nil
}

// parseVersions parses a configuration's version and that of its base.
func parseVersions(text, baseText wireText) (edition, base Version, err error) {
	if edition, err = ParseVersion(string(text)); err != nil {
		return 0, 0, fmt.Errorf("edition: %w", err)
	}
	if base, err = ParseVersion(string(baseText)); err != nil {
		return 0, 0, fmt.Errorf("based_on: %w", err)
	}
	return edition, base, nil
}

// unmarshalBody parses a body that must be one complete JSON document.
func unmarshalBody(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("not readable whole: %w", err)
	}
	return nil
}

// ParseManifest parses and validates a configuration as one JSON document. An error names the parcel and the field. The body of a State is
// parsed by ReadManifest instead.
func ParseManifest(body []byte) (*Manifest, error) {
	var w wireManifest
	if err := unmarshalBody(body, &w); err != nil {
		return nil, err
	}
	edition, base, err := parseVersions(w.Edition, w.BasedOn)
	if err != nil {
		return nil, err
	}
	m := newManifest(edition, base)
	for i, p := range w.Parcels {
		if err := m.addParcel(p); err != nil {
			return nil, fmt.Errorf("parcels[%d] (%s %s): %w", i, p.Kind, p.Label.Name, err)
		}
	}
	return m, m.validate()
}

// newManifest returns a manifest without parcels, with the default limits.
func newManifest(edition, base Version) *Manifest {
	return &Manifest{Version: edition, Base: base,
		Limits: DefaultLimits}
}

// addParcel adds one parcel to the manifest. Parcels of unknown kinds are ignored.
func (m *Manifest) addParcel(p wireParcel) error {
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
	if r.Timeout, err = w.Timeout.duration("timeout"); err != nil {
		return err
	}
	if r.Target, err = w.Target.duration("target"); err != nil {
		return err
	}
	if r.Shelf, err = w.Shelf.duration("shelf"); err != nil {
		return err
	}
	for _, s := range w.Split {
		if s.Share < 0 {
			return fmt.Errorf("split_among: share of %s under 0", s.Carrier)
		}
		r.Split = append(r.Split, ServiceShare{s.Carrier, s.Share})
	}
	if len(w.Split) == 0 && w.Carrier != "" {
		r.Split = []ServiceShare{{w.Carrier, 1}}
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
		d, err := f.text.duration(f.name)
		if err != nil {
			return err
		}
		if d > 0 {
			*f.to = d
		}
	}
	return nil
}

// validate returns the first fault of a configuration: a route of unknown kind, without timeout, to an unknown service, and so on.
func (m *Manifest) validate() error {
	services := map[string]bool{}
	for _, s := range m.Services {
		services[s.Name] = true
	}
	routeByPlace := map[string]string{}
	for _, r := range m.Routes {
		total := 0.0
		for _, s := range r.Split {
			if total += s.Weight; !services[s.Service] {
				return fmt.Errorf("route %s: carrier: unknown service %q", r.Name, s.Service)
			}
		}
		place := r.Host + " " + r.Prefix
		switch {
		case r.Kind != KindResendable && r.Kind != KindOnceOnly && r.Kind != KindCacheable:
			return fmt.Errorf("route %s: mail_class: %q is none of the known ones", r.Name, r.Kind)
		case total <= 0:
			return fmt.Errorf("route %s: split_among: the shares add up to 0", r.Name)
		case r.Timeout <= 0:
			return fmt.Errorf("route %s: timeout: 0", r.Name)
		case r.Timeout > maxTimeout:
			return fmt.Errorf("route %s: timeout: over ten minutes", r.Name)
		case routeByPlace[place] != "":
			return fmt.Errorf("route %s: path_prefix: same place as %s", r.Name, routeByPlace[place])
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return fmt.Errorf("route %s: path_prefix: %q does not begin and end with a slash", r.Name, r.Prefix)
		}
		routeByPlace[place] = r.Name
	}
	return validateTenants(m.Tenants)
}

// RouteTable finds the route of a request. It is built once for each configuration and is immutable.
type RouteTable struct {
	hosts map[string]map[string]*Route // by host, then by prefix as canonicalPath spells it
}

// NewRouteTable builds the route table of a configuration.
func NewRouteTable(m *Manifest) *RouteTable {
	t := &RouteTable{hosts: map[string]map[string]*Route{}}
	for i := range m.Routes {
		r := &m.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		t.hosts[r.Host][canonicalPath(r.Prefix)] = r
	}
	return t
}

// Find returns the host's route with the longest prefix of the path, as a client sent it; nil if there is none. An encoded slash is no slash.
// Its cost depends on the length of the path, not on the number of routes.
func (t *RouteTable) Find(host, path string) *Route {
	prefixes := t.hosts[strings.ToLower(host)]
	path = canonicalPath(path)
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

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s ServiceShare) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service for a number from 0 to 1, drawn at random or from a hash: each service gets a part of the interval in
// proportion to its weight.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Split {
		if point -= s.Weight; point < 0 && s.Weight > 0 {
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

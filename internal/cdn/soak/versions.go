package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cedarmast/internal/cdn/randomconfig"
)

// putResult is what an operator knows about a configuration that was put.
type putResult int

const (
	unknown      putResult = iota // it may be in force, or come into force later
	acknowledged                  // answered 200
	refused                       // answered 4xx, and no earlier attempt may have been applied
)

// defect is the reason why a configuration is invalid, as it is printed; valid means that it is not.
type defect string

const (
	valid          defect = ""
	sharedKey      defect = "two tenants share a key"
	unknownService defect = "a route names an unknown service"
	truncated      defect = "its text is cut short"
	staleEdition   defect = "its edition is not above the current one"
	brokenNumber   defect = "a line break is inside a number"
	changedBytes   defect = "its bytes are changed so that it is no JSON text"
)

// textDefects are the defects by which a text is no JSON text.
var textDefects = []defect{truncated, brokenNumber, changedBytes}

var defects = []defect{sharedKey, unknownService, truncated, staleEdition, brokenNumber, changedBytes}

// version is one configuration as an operator puts it.
type version struct {
	edition int
	base    *version // that it is based on; nil: none
	keys    keyTable
	fields  map[string]routeFields // by the name of the request kind
	rate    int                    // of the service, in requests per second; minServiceRate at least
	defect  defect
	text    []byte

	sent, answered time.Time
	result         putResult
}

// routeFields are the fields of a route that differ between versions.
type routeFields struct {
	timeout, target, shelf time.Duration
	precedence, tries      int
}

// The values that the fields of routes are drawn from. No timeout is shorter than requestTimeout, which bounds the requests.
var (
	routeTimeouts = []time.Duration{requestTimeout + time.Second, requestTimeout + 1500*time.Millisecond, 2 * requestTimeout}
	routeTargets  = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}
	cacheShelves  = []time.Duration{0, 300 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 10 * time.Second}
)

const (
	minServiceRate = 400 // requests per second
	ratePerEdge    = 4   // requests per second

	maxPrecedence = 2
	maxTries      = 4
)

// drawFields draws the fields of all routes.
func drawFields(rng *rand.Rand) map[string]routeFields {
	fields := map[string]routeFields{}
	for _, k := range requestKinds {
		f := routeFields{timeout: routeTimeouts[rng.IntN(len(routeTimeouts))], target: routeTargets[rng.IntN(len(routeTargets))],
			precedence: rng.IntN(maxPrecedence + 1), tries: 1 + rng.IntN(maxTries)}
		if k.cached {
			f.shelf = cacheShelves[rng.IntN(len(cacheShelves))]
		}
		fields[k.name] = f
	}
	return fields
}

// reading is one successful read of the newest configuration.
type reading struct {
	sent    time.Time
	edition int
	text    []byte
}

// history records all configurations of a run and what was read back.
type history struct {
	mu          sync.Mutex
	versions    []*version
	readings    []reading
	refusedKeys []string // keys that only refused configurations hold
}

// recordSent records that a version is put now.
func (h *history) recordSent(v *version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.sent = time.Now()
	h.versions = append(h.versions, v)
}

// recordResult records the final answer to a put. For a refused version it also records the keys that its base lacks.
func (h *history) recordResult(v *version, result putResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.answered, v.result = time.Now(), result
	if result == refused {
		for key := range v.keys {
			if v.base == nil || v.base.keys[key] == "" {
				h.refusedKeys = append(h.refusedKeys, key)
			}
		}
	}
}

// recordReading records what was read back.
func (h *history) recordReading(r reading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings = append(h.readings, r)
}

// newest returns the acknowledged valid configuration with the highest edition; nil if there is none.
func (h *history) newest() *version {
	h.mu.Lock()
	defer h.mu.Unlock()
	var newest *version
	for _, v := range h.versions {
		if v.result == acknowledged && v.defect == valid && (newest == nil || v.edition > newest.edition) {
			newest = v
		}
	}
	return newest
}

// findByText returns the configuration with exactly this text; nil if none was put.
func (h *history) findByText(text []byte) *version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return versionWithText(h.versions, text)
}

// versionWithText returns the first version with exactly this text; nil if there is none.
func versionWithText(versions []*version, text []byte) *version {
	at := slices.IndexFunc(versions, func(v *version) bool { return bytes.Equal(v.text, text) })
	if at < 0 {
		return nil
	}
	return versions[at]
}

// keysOnlyInRefused returns the keys that only refused configurations hold.
func (h *history) keysOnlyInRefused() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.refusedKeys)
}

// removedKeys returns, sorted, the keys of acknowledged configurations that the newest one does not hold.
func (h *history) removedKeys() []string {
	newest := h.newest()
	h.mu.Lock()
	defer h.mu.Unlock()
	removed := keyTable{}
	for _, v := range h.versions {
		if v.result == acknowledged {
			maps.Copy(removed, v.keys)
		}
	}
	if newest != nil {
		maps.DeleteFunc(removed, func(key, _ string) bool { return newest.keys[key] != "" })
	}
	return slices.Sorted(maps.Keys(removed))
}

// parseEdition returns the edition number of a configuration's text; 0 if it has none.
func parseEdition(text []byte) int {
	var got struct{ Edition string }
	edition := 0
	if json.Unmarshal(text, &got) == nil {
		fmt.Sscanf(got.Edition, "r%d", &edition)
	}
	return edition
}

// encode sets the version's text, including its defect.
func (v *version) encode() {
	based := `"0"`
	if v.base != nil {
		based = fmt.Sprintf(`"r%d"`, v.base.edition)
	}
	tenants := v.keys.encodeTenants()
	if v.defect == sharedKey {
		shared := fmt.Sprintf("%q", slices.Max(slices.Collect(maps.Keys(v.keys))))
		tenants = strings.Replace(tenants, `"stamps":[`, `"stamps":[`+shared+`,`, tenantCount)
	}
	v.text = fmt.Appendf(nil, `{"edition":"r%d","based_on":%s,"parcels":[%s%s{"parcel_kind":"carriers","label":{"name":"%s"},"manifest":{"health_path":"/health","line_cap":130,"rate_per_s":%d}}]}`,
		v.edition, based, tenants, v.encodeRoutes(), serviceName, max(minServiceRate, v.rate))
	v.text = v.spoil(v.text)
}

// spoil returns the text with the version's defect, if that is one of the text. Changed bytes are the same for each edition.
func (v *version) spoil(text []byte) []byte {
	switch v.defect {
	case truncated:
		return text[:len(text)*2/3]
	case brokenNumber:
		return bytes.Replace(text, []byte(`"line_cap":130`), []byte("\"line_cap\":13\n0"), 1)
	case changedBytes:
		rng := rand.New(rand.NewPCG(uint64(v.edition), 7))
		for {
			if changed := randomconfig.ChangeBytes(rng, text); !json.Valid(changed) {
				return changed
			}
		}
	}
	return text
}

// encodeRoutes returns the JSON of the routes that clients request; odd editions have one more.
func (v *version) encodeRoutes() string {
	var b strings.Builder
	for _, k := range requestKinds {
		if k.oddEditionsOnly && v.edition%2 == 0 {
			continue
		}
		f, target, publicField := v.fields[k.name], serviceName, ""
		if v.defect == unknownService && k.name == requestKinds[0].name {
			target = "nobody"
		}
		if k.public {
			publicField = `,"unsealed":true`
		}
		fmt.Fprintf(&b, `{"parcel_kind":"routes","label":{"name":"r-%[1]s"},"manifest":{"domain":"shop.example","path_prefix":"/%[1]s/","mail_class":"%[2]s",`+
			`"timeout":"%[4]dms","target":"%[5]dms","precedence":%[6]d,"carrier":"%[3]s","tries":%[7]d,"shelf":"%[8]dms"%[9]s}},`, k.name, k.class, target,
			f.timeout.Milliseconds(), f.target.Milliseconds(), f.precedence, f.tries, f.shelf.Milliseconds(), publicField)
	}
	return b.String()
}

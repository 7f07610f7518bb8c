package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
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
)

var defects = []defect{sharedKey, unknownService, truncated, staleEdition}

// version is one configuration as an operator puts it.
type version struct {
	edition int
	base    *version // that it is based on; nil: none
	keys    keyTable
	defect  defect
	text    []byte

	sent, answered time.Time
	result         putResult
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
	v.text = fmt.Appendf(nil, `{"edition":"r%d","based_on":%s,"parcels":[%s%s{"parcel_kind":"carriers","label":{"name":"%s"},"manifest":{"health_path":"/health","line_cap":130,"rate_per_s":400}}]}`,
		v.edition, based, tenants, v.encodeRoutes(), serviceName)
	if v.defect == truncated {
		v.text = v.text[:len(v.text)*2/3]
	}
}

// encodeRoutes returns the JSON of the routes that clients request; odd editions have one more.
func (v *version) encodeRoutes() string {
	var b strings.Builder
	for _, k := range requestKinds {
		if k.oddEditionsOnly && v.edition%2 == 0 {
			continue
		}
		target, publicField := serviceName, ""
		if v.defect == unknownService && k.name == requestKinds[0].name {
			target = "nobody"
		}
		if k.public {
			publicField = `,"unsealed":true`
		}
		fmt.Fprintf(&b, `{"parcel_kind":"routes","label":{"name":"r-%[1]s"},"manifest":{"domain":"shop.example","path_prefix":"/%[1]s/","mail_class":"%[2]s",`+
			`"timeout":"4000ms","target":"500ms","precedence":1,"carrier":"%[3]s","tries":3,"shelf":"%[4]s"%[5]s}},`, k.name, k.class, target, k.cacheTTL, publicField)
	}
	return b.String()
}

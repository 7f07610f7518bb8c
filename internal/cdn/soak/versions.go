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

// verdict is what an operator knows of a configuration that was sent.
type verdict int

const (
	unclear      verdict = iota // it may be in force, or come into force
	acknowledged                // a 200 came
	refused                     // a 4xx came, and no call before it may have been taken
)

// fault is why a configuration is invalid.
type fault string

const (
	valid          fault = ""
	sharedKey      fault = "two tenants share a key"
	unknownService fault = "a route names an unknown service"
	cutShort       fault = "its text is cut short"
	staleEdition   fault = "its number is not above the current one"
)

var faults = []fault{sharedKey, unknownService, cutShort, staleEdition}

// version is one configuration as an operator sends it.
type version struct {
	edition int
	on      *version // that it builds on; nil: none
	keys    keyTable
	fault   fault
	text    []byte

	sent, answered time.Time
	verdict        verdict
}

// reading is one answer to a question for the newest configuration.
type reading struct {
	sent    time.Time
	edition int
	text    []byte
}

// history is all configurations of a day, and what was read back.
type history struct {
	mu       sync.Mutex
	versions []*version
	readings []reading
	strays   []string // keys that no valid configuration holds
}

func (h *history) send(v *version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.sent = time.Now()
	h.versions = append(h.versions, v)
}

func (h *history) settle(v *version, verdict verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.answered, v.verdict = time.Now(), verdict
	if verdict == refused {
		for key := range v.keys {
			if v.on == nil || v.on.keys[key] == "" {
				h.strays = append(h.strays, key)
			}
		}
	}
}

func (h *history) read(r reading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings = append(h.readings, r)
}

// newest is the acknowledged configuration with the highest number.
func (h *history) newest() *version {
	h.mu.Lock()
	defer h.mu.Unlock()
	var newest *version
	for _, v := range h.versions {
		if v.verdict == acknowledged && v.fault == valid && (newest == nil || v.edition > newest.edition) {
			newest = v
		}
	}
	return newest
}

// find returns the configuration with a text; nil if none was sent.
func (h *history) find(text []byte) *version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sentAs(h.versions, text)
}

func sentAs(versions []*version, text []byte) *version {
	at := slices.IndexFunc(versions, func(v *version) bool { return bytes.Equal(v.text, text) })
	if at < 0 {
		return nil
	}
	return versions[at]
}

// strayKeys are the keys that refused configurations alone hold.
func (h *history) strayKeys() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.strays)
}

// hadKeys are the keys that were in a configuration and are no longer in the newest one.
func (h *history) hadKeys() []string {
	newest := h.newest()
	h.mu.Lock()
	defer h.mu.Unlock()
	had := keyTable{}
	for _, v := range h.versions {
		if v.verdict == acknowledged {
			maps.Copy(had, v.keys)
		}
	}
	if newest != nil {
		maps.DeleteFunc(had, func(key, _ string) bool { return newest.keys[key] != "" })
	}
	return slices.Sorted(maps.Keys(had))
}

// editionOf reads the number of a configuration that was read back; 0 if it has none.
func editionOf(text []byte) int {
	var got struct{ Edition string }
	edition := 0
	if json.Unmarshal(text, &got) == nil {
		fmt.Sscanf(got.Edition, "r%d", &edition)
	}
	return edition
}

// write makes the configuration's text, with its fault.
func (v *version) write() {
	based := `"0"`
	if v.on != nil {
		based = fmt.Sprintf(`"r%d"`, v.on.edition)
	}
	tenants := v.keys.parcels()
	if v.fault == sharedKey {
		shared := fmt.Sprintf("%q", slices.Max(slices.Collect(maps.Keys(v.keys))))
		tenants = strings.Replace(tenants, `"stamps":[`, `"stamps":[`+shared+`,`, tenantCount)
	}
	v.text = fmt.Appendf(nil, `{"edition":"r%d","based_on":%s,"parcels":[%s%s{"parcel_kind":"carriers","label":{"name":"%s"},"manifest":{"health_path":"/health","line_cap":130,"rate_per_s":400}}]}`,
		v.edition, based, tenants, v.routes(), service)
	if v.fault == cutShort {
		v.text = v.text[:len(v.text)*2/3]
	}
}

// routes are the routes that clients ask for; odd editions have one more.
func (v *version) routes() string {
	var b strings.Builder
	for _, k := range kinds {
		if k.only && v.edition%2 == 0 {
			continue
		}
		to, open := service, ""
		if v.fault == unknownService && k.name == kinds[0].name {
			to = "nobody"
		}
		if k.open {
			open = `,"unsealed":true`
		}
		fmt.Fprintf(&b, `{"parcel_kind":"routes","label":{"name":"r-%[1]s"},"manifest":{"domain":"shop.example","path_prefix":"/%[1]s/","mail_class":"%[2]s",`+
			`"timeout":"4000ms","target":"500ms","precedence":1,"carrier":"%[3]s","tries":3,"shelf":"%[4]s"%[5]s}},`, k.name, k.class, to, k.shelf, open)
	}
	return b.String()
}

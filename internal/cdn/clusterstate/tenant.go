package clusterstate

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Tenant is a client of the network, identified by its keys.
type Tenant struct {
	Name     string
	Priority int // of its requests, compared before the route's; 0 is the highest
	Keys     []string
}

// KeyTable finds the tenant that holds a key. It is built once for each configuration and is immutable.
type KeyTable struct {
	byKey map[string]*Tenant
}

// NewKeyTable builds the key table of a configuration.
func NewKeyTable(m *Manifest) *KeyTable {
	t := &KeyTable{byKey: map[string]*Tenant{}}
	for i := range m.Tenants {
		for _, key := range m.Tenants[i].Keys {
			t.byKey[key] = &m.Tenants[i]
		}
	}
	return t
}

// Find returns the tenant that holds a key; nil if there is none.
func (t *KeyTable) Find(key string) *Tenant { return t.byKey[key] }

// RequiresKey reports whether requests on a route need a key. In a configuration without tenants none does.
func (m *Manifest) RequiresKey(r *Route) bool { return len(m.Tenants) > 0 && !r.Unsealed }

func (m *Manifest) addTenant(p wireParcel) error {
	var w wireSender
	if err := json.Unmarshal(p.Spec, &w); err != nil {
		return err
	}
	m.Tenants = append(m.Tenants, Tenant{Name: p.Label.Name, Priority: w.Precedence, Keys: w.Stamps})
	return nil
}

// validateTenants checks that a key identifies one tenant, and that each tenant's name can be sent in a header.
func validateTenants(tenants []Tenant) error {
	holders := map[string]string{}
	for _, t := range tenants {
		if t.Name == "" || strings.ContainsFunc(t.Name, isControl) {
			return fmt.Errorf("sender %q: name: empty, or with a control character", t.Name)
		}
		for _, key := range t.Keys {
			holder, held := holders[key]
			switch {
			case key == "":
				return fmt.Errorf("sender %s: stamps: an empty key", t.Name)
			case held && holder != t.Name:
				return fmt.Errorf("sender %s: stamps: a key of %s", t.Name, holder)
			}
			holders[key] = t.Name
		}
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

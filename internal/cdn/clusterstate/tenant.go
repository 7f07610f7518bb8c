package clusterstate

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Tenant is one sender of requests, named by the keys that it holds.
type Tenant struct {
	Name     string
	Priority int // rank of its requests, before the route's; 0 is the highest
	Keys     []string
}

// KeyTable finds the tenant that holds a key. It is made once for each configuration and not changed.
type KeyTable struct {
	byKey map[string]*Tenant
}

// NewKeyTable returns the key table of a configuration.
func NewKeyTable(m *Manifest) *KeyTable {
	t := &KeyTable{byKey: map[string]*Tenant{}}
	for i := range m.Tenants {
		for _, key := range m.Tenants[i].Keys {
			t.byKey[key] = &m.Tenants[i]
		}
	}
	return t
}

// Find returns the tenant that holds a key; nil if none does.
func (t *KeyTable) Find(key string) *Tenant { return t.byKey[key] }

// Keyed tells whether requests on a route need a key: a configuration without tenants asks for none.
func (m *Manifest) Keyed(r *Route) bool { return len(m.Tenants) > 0 && !r.Unsealed }

func (m *Manifest) addTenant(p wireParcel) error {
	var w wireSender
	if err := json.Unmarshal(p.Spec, &w); err != nil {
		return err
	}
	m.Tenants = append(m.Tenants, Tenant{Name: p.Label.Name, Priority: w.Precedence, Keys: w.Stamps})
	return nil
}

// checkTenants refuses tenants whose requests could not be told apart: a key is held by one tenant, whose name a header can carry.
func checkTenants(all []Tenant) error {
	holders := map[string]string{}
	for _, t := range all {
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

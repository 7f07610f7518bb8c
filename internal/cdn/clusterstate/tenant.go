package clusterstate

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

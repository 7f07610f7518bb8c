package clusterstate

import "math"

// Cut is which part of a service's rate each cache router may use, beside what all have without one. It is decided by the holder of the
// duty, by what the routers would ask for, and stands in the log: in every version of the state the parts of all add up to one whole.
type Cut struct {
	Service string             `json:"service"`
	Parts   map[string]float64 `json:"parts"` // by node; 1 together
}

const (
	evenPart   = 0.3  // of a service's rate is shared without regard to need, for those who come to need it before anybody knows
	othersPart = 0.15 // of that, for routers that are no shields
	cutStep    = 0.1  // of the whole: parts that all move by less are not cut anew
	leastNeed  = 2.0  // requests a second of all together, below which nothing is cut
)

// Even is a router's part of a service's rate where nothing is known of need. Shields share almost all of it; where not every router is
// one, the others keep a little for when no shield answers them.
func (s *State) Even(node string) float64 {
	chosen := Shields(s.Routers)
	n, shields := float64(max(len(s.Routers), 1)), float64(max(len(chosen), 1))
	if _, there := s.Routers[node]; !there { // it is on its way in, and the others count without it
		n++
		if shields >= n-1 {
			return 1 / n
		}
	}
	switch {
	case shields >= n:
		return 1 / n
	case chosen[node]:
		return (1 - othersPart) / shields
	}
	return othersPart / (n - shields)
}

// Share is a router's part of a service's rate. The shares of all in the roster are never more than the whole.
func (s *State) Share(service, node string) float64 {
	even, parts := s.Even(node), s.Parts[service]
	if parts == nil {
		return even
	}
	if _, there := s.Routers[node]; !there { // it has part in nothing that was cut
		return evenPart * even
	}
	return evenPart*even + (1-evenPart)*parts[node]
}

// Recut returns how a service's rate is to be cut by what its routers would ask for, in requests a second; false if as it is is near enough.
// Who is not in the roster counts for nothing.
func (s *State) Recut(service string, needs map[string]float64) (Cut, bool) {
	total := 0.0
	for node, need := range needs {
		if _, there := s.Routers[node]; there && need > 0 && !math.IsInf(need, 0) {
			total += need
		}
	}
	if total < leastNeed {
		return Cut{}, false
	}
	c, old, moved := Cut{Service: service, Parts: map[string]float64{}}, s.Parts[service], false
	for node := range s.Routers {
		part := 0.0
		if need := needs[node]; need > 0 && !math.IsInf(need, 0) {
			part = need / total
			c.Parts[node] = part
		}
		was, ok := old[node]
		if !ok && old == nil {
			was = s.Even(node)
		}
		moved = moved || math.Abs(part-was) >= cutStep
	}
	return c, moved
}

// cut takes a cut that adds up.
func (s *State) cut(c *Cut) Outcome {
	total := 0.0
	for _, part := range c.Parts {
		if !(part >= 0 && part <= 1) {
			return Outcome{Status: Invalid, Text: "a part of less than nothing or more than all"}
		}
		total += part
	}
	if total > 1+1e-6 || len(c.Parts) > mostRoster {
		return Outcome{Status: Invalid, Text: "parts of more than the whole"}
	}
	parts := make(map[string]map[string]float64, len(s.Parts)+1) // another one: who was handed the old map reads on
	for service, old := range s.Parts {
		parts[service] = old
	}
	parts[c.Service] = c.Parts
	s.Parts = parts
	return Outcome{Status: Done}
}

// keepParts lets the parts of services go that a configuration does not have.
func (s *State) keepParts(m *Manifest) {
	kept := map[string]map[string]float64{}
	for _, def := range m.Services {
		if parts := s.Parts[def.Name]; parts != nil {
			kept[def.Name] = parts
		}
	}
	s.Parts = nil
	if len(kept) > 0 {
		s.Parts = kept
	}
}

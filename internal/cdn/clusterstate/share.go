package clusterstate

import "math"

// RateDivision divides a service's rate among the cache routers by demand, apart from the fraction that all have without it. The holder of
// the duty decides it from the routers' demand. It is in the log, so that in every version of the state the parts add up to at most the
// whole.
type RateDivision struct {
	Service string             `json:"service"`
	Parts   map[string]float64 `json:"parts"` // by node; they add up to 1
}

const (
	evenFraction        = 0.3  // fraction of a service's rate that is divided without regard to demand, for routers with demand not known yet
	nonShieldFraction   = 0.15 // fraction of that for routers that are not shields
	redivisionThreshold = 0.1  // of the whole; if every part would change by less, the division stays as it is
	minTotalNeed        = 2.0  // requests per second of all routers together, below which the division stays as it is
)

// EvenShare returns the fraction of a service's rate that a router has while no demand is known. Shields have almost all of the rate. If
// not every router is a shield, the others keep a little for when no shield answers them.
func (s *State) EvenShare(node string) float64 {
	isShield := Shields(s.Routers)
	n, shields := float64(max(len(s.Routers), 1)), float64(max(len(isShield), 1))
	if _, listed := s.Routers[node]; !listed { // it is about to join, and the others don't count it yet
		n++
		if shields >= n-1 {
			return 1 / n
		}
	}
	switch {
	case shields >= n:
		return 1 / n
	case isShield[node]:
		return (1 - nonShieldFraction) / shields
	}
	return nonShieldFraction / (n - shields)
}

// RateShare returns the fraction of a service's rate that a router may use. The shares of all routers in the roster never exceed the whole.
func (s *State) RateShare(service, node string) float64 {
	even, parts := s.EvenShare(node), s.Parts[service]
	if parts == nil {
		return even
	}
	if _, listed := s.Routers[node]; !listed { // it has no part in what was divided by demand
		return evenFraction * even
	}
	return evenFraction*even + (1-evenFraction)*parts[node]
}

// DivideRate returns the division of a service's rate that fits the routers' demand, given in requests per second by node. It returns false
// if the present division is close enough or the demand too small. Nodes that are not in the roster are ignored.
func (s *State) DivideRate(service string, needs map[string]float64) (RateDivision, bool) {
	total := 0.0
	for node, need := range needs {
		if _, listed := s.Routers[node]; listed && need > 0 && !math.IsInf(need, 0) {
			total += need
		}
	}
	if total < minTotalNeed {
		return RateDivision{}, false
	}
	c, current, moved := RateDivision{Service: service, Parts: map[string]float64{}}, s.Parts[service], false
	for node := range s.Routers {
		part := 0.0
		if need := needs[node]; need > 0 && !math.IsInf(need, 0) {
			part = need / total
			c.Parts[node] = part
		}
		previous, ok := current[node]
		if !ok && current == nil {
			previous = s.EvenShare(node)
		}
		moved = moved || math.Abs(part-previous) >= redivisionThreshold
	}
	return c, moved
}

// applyRateDivision puts a division of a service's rate into force if its parts are valid and don't exceed the whole.
func (s *State) applyRateDivision(c *RateDivision) Outcome {
	total := 0.0
	for _, part := range c.Parts {
		if !(part >= 0 && part <= 1) {
			return Outcome{Status: StatusInvalid, Text: "a part of less than nothing or more than all"}
		}
		total += part
	}
	if total > 1+1e-6 || len(c.Parts) > maxRoster {
		return Outcome{Status: StatusInvalid, Text: "parts of more than the whole"}
	}
	parts := make(map[string]map[string]float64, len(s.Parts)+1) // a new map: copies of the state share the old one
	for service, old := range s.Parts {
		parts[service] = old
	}
	parts[c.Service] = c.Parts
	s.Parts = parts
	return Outcome{Status: StatusOK}
}

// pruneParts drops the parts of services that a configuration does not contain.
func (s *State) pruneParts(m *Manifest) {
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

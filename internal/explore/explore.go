// Package explore is a small explicit-state model checker for tests: it visits all states that a model can reach, in breadth-first order.
// States must not share mutable memory.
package explore

// Step is a transition: the name of an action and the state after it.
type Step[S any] struct {
	Name  string
	State S
}

// Model defines a state space.
type Model[S any] struct {
	Start     S
	Next      func(S) []Step[S] // transitions from a state
	Fault     func(S) string    // describes the violated invariant; empty if there is none
	ID        func(S) string    // equal for equivalent states, of which only the first is visited
	MaxDepth  int               // maximum number of steps; 0: unlimited
	MaxStates int               // maximum number of states: the search visits no more, so a caller should check that Walk returns fewer
}

// Walk visits every reachable state after Start, fewest steps first. It returns the first fault with the names of the steps that lead to
// it, and the number of states seen.
func (m Model[S]) Walk() (fault string, path []string, states int) {
	type node struct {
		state S
		path  []string
	}
	seen, frontier := map[string]bool{m.ID(m.Start): true}, []node{{state: m.Start}}
	for depth := 0; len(frontier) > 0 && (m.MaxDepth == 0 || depth < m.MaxDepth); depth++ {
		var next []node
		for _, p := range frontier {
			for _, s := range m.Next(p.state) {
				if id := m.ID(s.State); seen[id] || len(seen) >= m.MaxStates {
					continue
				} else {
					seen[id] = true
				}
				path := append(p.path[:len(p.path):len(p.path)], s.Name)
				if f := m.Fault(s.State); f != "" {
					return f, path, len(seen)
				}
				next = append(next, node{s.State, path})
			}
		}
		frontier = next
	}
	return "", nil, len(seen)
}

package edge

import (
	"math"
	"sync"
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

// pace is what this router has learned of a service's servers: how quick each one is beside the others, and how long a
// route's answers are. It is small and let go with the servers.
type pace struct {
	mu     sync.Mutex
	routes map[string]*habit
	quick  map[string]float64 // by server: its time as a multiple of its routes' mean, smoothed
	told   map[string]float64 // the part by which each server was last weighed
}

// habit is what a route's answers are like.
type habit struct {
	took  float64 // seconds, smoothed
	bytes float64
	n     int
}

const (
	longBody   = 24 << 10 // a body whose way between zones costs more than a slow server
	paceMemory = 0.1
	paceFew    = 12  // answers of a route before its mean says something
	pacePower  = 2.0 // a server half as quick gets a quarter of the draws
	paceStep   = 0.2 // a part that moves less is not told
	paceLeast  = 0.25
	paceMost   = 2.0
	mostPaces  = 4096
)

func newPace() pace {
	return pace{routes: map[string]*habit{}, quick: map[string]float64{}, told: map[string]float64{}}
}

func (p *pace) note(route, server string, took time.Duration, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.routes[route]
	if h == nil {
		if len(p.routes) >= mostPaces {
			clear(p.routes)
		}
		h = &habit{took: took.Seconds()}
		p.routes[route] = h
	}
	h.n++
	part := max(paceMemory, 1/float64(h.n))
	h.took += part * (took.Seconds() - h.took)
	if bytes > 0 { // an answer without one says that nothing has changed
		h.bytes += part * (float64(bytes) - h.bytes)
	}
	if h.n < paceFew || server == "" {
		return
	}
	q, ok := p.quick[server]
	if !ok {
		q = 1
	}
	p.quick[server] = q + paceMemory*(took.Seconds()/max(h.took, 1e-4)-q)
}

// long tells whether a route's bodies are long; of one that is not known it is assumed.
func (p *pace) long(route string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.routes[route]
	return h == nil || h.n < paceFew || h.bytes >= longBody
}

// part is by how much a server is drawn more or less than its slots say.
func (p *pace) part(server string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	part := p.now(server)
	p.told[server] = part
	return part
}

func (p *pace) now(server string) float64 {
	q, ok := p.quick[server]
	if !ok {
		return 1
	}
	return min(max(math.Pow(max(q, 0.1), -pacePower), paceLeast), paceMost)
}

// moved tells whether a server's part has moved so much that the decisions are to be told. Servers that are gone are let go.
func (p *pace) moved(servers map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	moved := false
	for id := range p.quick {
		if !servers[id] {
			delete(p.quick, id)
			delete(p.told, id)
			continue
		}
		if told, ok := p.told[id]; ok && math.Abs(p.now(id)-told) > paceStep*told {
			moved = true
		}
	}
	return moved
}

// weigh tells the decisions of servers that have turned out quicker or slower.
func (f *Edge) weigh() {
	f.replica.Read(func(s *clusterstate.State) {
		for name, sv := range f.services {
			servers := map[string]bool{}
			for id, x := range s.Servers {
				if x.Service == name {
					servers[id] = true
				}
			}
			if sv.pace.moved(servers) {
				f.list(s, name)
			}
		}
	})
}

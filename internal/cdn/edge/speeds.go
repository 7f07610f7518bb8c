package edge

import (
	"math"
	"sync"
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

// serverSpeeds is what this router has learned of a service's servers: how quick each one is beside the others, and how long a
// route's answers are. It is small and let go with the servers.
type serverSpeeds struct {
	mu     sync.Mutex
	routes map[string]*routeStats
	quick  map[string]float64 // by server: its time as a multiple of its routes' mean, smoothed
	told   map[string]float64 // the part by which each server was last weighed
}

// routeStats is what a route's answers are like.
type routeStats struct {
	took  float64 // seconds, smoothed
	bytes float64
	n     int
}

const (
	longBody       = 24 << 10 // a body whose way between zones costs more than a slow server
	speedMemory    = 0.1
	fewAnswers     = 12  // answers of a route before its mean says something
	speedPower     = 2.0 // a server half as quick gets a quarter of the draws
	speedStep      = 0.2 // a part that moves less is not told
	leastSpeedPart = 0.25
	mostSpeedPart  = 2.0
	mostSpeeds     = 4096
)

func newServerSpeeds() serverSpeeds {
	return serverSpeeds{routes: map[string]*routeStats{}, quick: map[string]float64{}, told: map[string]float64{}}
}

func (p *serverSpeeds) note(route, server string, took time.Duration, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.routes[route]
	if h == nil {
		if len(p.routes) >= mostSpeeds {
			clear(p.routes)
		}
		h = &routeStats{took: took.Seconds()}
		p.routes[route] = h
	}
	h.n++
	part := max(speedMemory, 1/float64(h.n))
	h.took += part * (took.Seconds() - h.took)
	if bytes > 0 { // an answer without one says that nothing has changed
		h.bytes += part * (float64(bytes) - h.bytes)
	}
	if h.n < fewAnswers || server == "" {
		return
	}
	q, ok := p.quick[server]
	if !ok {
		q = 1
	}
	p.quick[server] = q + speedMemory*(took.Seconds()/max(h.took, 1e-4)-q)
}

// long tells whether a route's bodies are long; of one that is not known it is assumed.
func (p *serverSpeeds) long(route string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.routes[route]
	return h == nil || h.n < fewAnswers || h.bytes >= longBody
}

// part is by how much a server is drawn more or less than its slots say.
func (p *serverSpeeds) part(server string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	part := p.now(server)
	p.told[server] = part
	return part
}

func (p *serverSpeeds) now(server string) float64 {
	q, ok := p.quick[server]
	if !ok {
		return 1
	}
	return min(max(math.Pow(max(q, 0.1), -speedPower), leastSpeedPart), mostSpeedPart)
}

// moved tells whether a server's part has moved so much that the decisions are to be told. Servers that are gone are let go.
func (p *serverSpeeds) moved(servers map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	moved := false
	for id := range p.quick {
		if !servers[id] {
			delete(p.quick, id)
			delete(p.told, id)
			continue
		}
		if told, ok := p.told[id]; ok && math.Abs(p.now(id)-told) > speedStep*told {
			moved = true
		}
	}
	return moved
}

// weigh tells the decisions of servers that have turned out quicker or slower.
func (e *Edge) weigh() {
	e.replica.Read(func(s *clusterstate.State) {
		for name, sv := range e.services {
			servers := map[string]bool{}
			for id, x := range s.Servers {
				if x.Service == name {
					servers[id] = true
				}
			}
			if sv.speeds.moved(servers) {
				e.list(s, name)
			}
		}
	})
}

package edge

import (
	"math"
	"sync"
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

// serverSpeeds holds what this router has measured of a service's servers: how fast each one is relative to the others, and how long each
// route's response bodies are. It is small; entries of removed servers are dropped.
type serverSpeeds struct {
	mu           sync.Mutex
	routes       map[string]*routeStats
	relativeTime map[string]float64 // by server: its response time relative to its routes' means, smoothed
	reported     map[string]float64 // by server: the weight factor in the last list
}

// routeStats holds a route's mean response time and body length.
type routeStats struct {
	meanSeconds float64 // mean response time in seconds, smoothed
	meanBytes   float64 // mean body length, smoothed
	responses   int     // responses seen
}

const (
	longBodyBytes  = 24 << 10 // bytes; sending such a body between zones costs more than using a slow server
	speedSmoothing = 0.1      // weight of a new response in the means
	minResponses   = 12       // responses of a route before its means are used
	speedExponent  = 2.0      // a server half as fast gets a quarter of the requests
	reportedStep   = 0.2      // relative change of a weight factor that is reported
	minSpeedFactor = 0.25
	maxSpeedFactor = 2.0
	maxSpeedRoutes = 4096
)

// newServerSpeeds returns an empty serverSpeeds.
func newServerSpeeds() serverSpeeds {
	return serverSpeeds{routes: map[string]*routeStats{}, relativeTime: map[string]float64{}, reported: map[string]float64{}}
}

// record adds a response of a server: how long it took, and the bytes of its body.
func (s *serverSpeeds) record(route, server string, took time.Duration, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.routes[route]
	if stats == nil {
		if len(s.routes) >= maxSpeedRoutes {
			clear(s.routes)
		}
		stats = &routeStats{meanSeconds: took.Seconds()}
		s.routes[route] = stats
	}
	stats.responses++
	weight := max(speedSmoothing, 1/float64(stats.responses))
	stats.meanSeconds += weight * (took.Seconds() - stats.meanSeconds)
	if bytes > 0 { // a response without a body means not modified
		stats.meanBytes += weight * (float64(bytes) - stats.meanBytes)
	}
	if stats.responses < minResponses || server == "" {
		return
	}
	relative, ok := s.relativeTime[server]
	if !ok {
		relative = 1
	}
	s.relativeTime[server] = relative + speedSmoothing*(took.Seconds()/max(stats.meanSeconds, 1e-4)-relative)
}

// hasLongBodies reports whether a route's bodies are long on average; an unknown route's are assumed to be.
func (s *serverSpeeds) hasLongBodies(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.routes[route]
	return stats == nil || stats.responses < minResponses || stats.meanBytes >= longBodyBytes
}

// weightFactor returns the factor by which a server's weight differs from its number of slots, and remembers it as reported.
func (s *serverSpeeds) weightFactor(server string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.factor(server)
	s.reported[server] = factor
	return factor
}

// factor returns a server's current weight factor. The caller holds the lock.
func (s *serverSpeeds) factor(server string) float64 {
	relative, ok := s.relativeTime[server]
	if !ok {
		return 1
	}
	return min(max(math.Pow(max(relative, 0.1), -speedExponent), minSpeedFactor), maxSpeedFactor)
}

// changed reports whether a server's weight factor has changed enough to send a new list. It drops servers that are not in servers.
func (s *serverSpeeds) changed(servers map[string]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for id := range s.relativeTime {
		if !servers[id] {
			delete(s.relativeTime, id)
			delete(s.reported, id)
			continue
		}
		if last, ok := s.reported[id]; ok && math.Abs(s.factor(id)-last) > reportedStep*last {
			changed = true
		}
	}
	return changed
}

// reweighServers sends new server lists to the load balancers of services whose servers' speeds have changed.
func (e *Edge) reweighServers() {
	e.replica.View(func(s *clusterstate.State) {
		for name, svc := range e.services {
			servers := map[string]bool{}
			for id, x := range s.Servers {
				if x.Service == name {
					servers[id] = true
				}
			}
			if svc.speeds.changed(servers) {
				e.pushServerList(s, name)
			}
		}
	})
}

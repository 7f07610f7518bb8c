package facts

import (
	"maps"
	"slices"
	"time"
)

// Expirer removes facts about servers that have been off the discovery list for After. After must be longer than any router runs without
// a list: a router that has not learned of a server's removal must not bring its facts back.
type Expirer struct {
	After time.Duration // how long a server must have been off the list

	unlistedSince map[string]time.Duration // since when, for servers whose facts are stored or were removed
}

// ApplyList applies the discovery list as of now, a set of server names: it removes the facts about servers that have been off the list for
// After, and returns their names. An empty list is ignored: a router that has received no list yet has an empty one.
func (f *Expirer) ApplyList(now time.Duration, s *Store, listed map[string]bool) (dropped []Name) {
	if len(listed) == 0 {
		return nil
	}
	if f.unlistedSince == nil {
		f.unlistedSince = map[string]time.Duration{}
	}
	for n := range s.facts {
		if _, known := f.unlistedSince[n.Subject]; !known {
			f.unlistedSince[n.Subject] = now
		}
	}
	// A name is remembered for another After, because other routers may still hold its facts.
	maps.DeleteFunc(f.unlistedSince, func(name string, since time.Duration) bool { return listed[name] || now-since > 2*f.After })
	before := s.Names()
	s.Retain(func(n Name) bool {
		since, unlisted := f.unlistedSince[n.Subject]
		return !unlisted || now-since < f.After
	})
	return slices.DeleteFunc(before, s.accepts)
}

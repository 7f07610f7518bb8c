package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// kinds are the kinds of trouble: the keys that each needs, the largest size, what it affects and what happens.
var kinds = map[string]struct {
	needsFor, needsSize bool
	sizeMost            float64
	strikes             string // "nodes", "routers", "site" or ""
	Help                string
}{
	"crash":             {true, false, 0, "nodes", "nodes die: connections are reset, new ones refused; they come back cold after for"},
	"silence":           {true, false, 0, "nodes", "nodes vanish: open connections say nothing, new ones never come up; they come back cold"},
	"freeze":            {true, false, 0, "nodes", "nodes stand still: they take requests and finish nothing until it is over"},
	"errors":            {true, true, 1, "nodes", "nodes answer part size of their requests with an error, at once"},
	"turn-away":         {true, true, 1, "nodes", "nodes turn away part size of their requests"},
	"slow":              {true, true, 1000, "nodes", "work takes size times as long"},
	"spoil":             {true, true, 1, "nodes", "part size of the answers can't be read"},
	"cut":               {true, false, 0, "nodes", "nodes are silent towards one router (router) alone"},
	"site-loss":         {true, false, 0, "site", "a site is lost, with its routers if with_routers; all comes back cold"},
	"burst":             {true, true, 100, "", "the rate is multiplied by size"},
	"heavy":             {true, true, 1000, "", "part of the requests (of class, if given) take size times their work"},
	"hot-key":           {true, true, 1000, "", "size keys, drawn by the seed, take part of all requests between them (half, if not given)"},
	"flush":             {false, false, 0, "nodes", "nodes lose what they keep"},
	"deploy":            {true, false, 0, "nodes", "nodes drain and start anew one after the other, all within for"},
	"shrink":            {true, false, 0, "nodes", "nodes drain and leave; they come back after for"},
	"grow":              {false, false, 0, "nodes", "nodes that have been absent from the start come"},
	"discovery-silence": {true, false, 0, "", "discovery answers nothing"},
	"discovery-stale":   {true, false, 0, "", "discovery answers, and tells nothing new"},
	"discovery-flap":    {true, false, 0, "nodes", "nodes are told gone and back, over and over, though they serve"},
	"router-kill":       {true, false, 0, "routers", "routers are killed, and start again after for"},
	"router-stop":       {true, false, 0, "routers", "routers are stopped in order, and start again after for"},
	"router-link":       {true, false, 0, "routers", "messages between routers are lost, late, repeated or overtaken, on the links between those struck and to"},
	"router-stall":      {true, false, 0, "routers", "routers' processes stand still and go on as if no time had passed"},
	"router-crash-loop": {true, true, 100, "routers", "routers are killed, and die size times more after starts at drawn times, all within for; then they stay"},
	"disk-full":         {true, false, 0, "routers", "routers' disks take no more: nothing they store is written, with stored.on"},
	"router-reload":     {false, false, 0, "routers", "routers are told to read their configuration again, with discovery at a new address"},
	"bad-clients":       {true, true, 1000, "", "size clients that send what can't be read, or nothing"},
	"database-stall":    {true, false, 0, "", "the database finishes nothing"},
}

// Kinds returns the names of the kinds of trouble, sorted.
func Kinds() []string { return slices.Sorted(maps.Keys(kinds)) }

// AffectedTargets returns what a kind of trouble affects: "nodes", "routers", "site" or "".
func AffectedTargets(kind string) string { return kinds[kind].strikes }

// validate reports the first inconsistency between the scenario's values.
func (s *Scenario) validate(errorAt errorFunc) error {
	if s.Name == "" {
		return errorAt("name", "missing")
	}
	for _, list := range []struct {
		name string
		n    int
	}{{"site", len(s.Sites)}, {"model", len(s.Models)}, {"class", len(s.Classes)}, {"tenant", len(s.Tenants)}} {
		if list.n == 0 {
			return errorAt(list.name, "there must be one at least")
		}
	}
	unique := func(list string, n int, name func(int) string) error {
		seen := map[string]int{}
		for i := range n {
			key := fmt.Sprintf("%s[%d].name", list, i)
			if name(i) == "" {
				return errorAt(key, "missing")
			}
			if strings.ContainsAny(name(i), " /,=\"\r\n\t") {
				return errorAt(key, "%q has a character that names can't have", name(i))
			}
			if first, ok := seen[name(i)]; ok {
				return errorAt(key, "%q is the name of %s[%d] already", name(i), list, first)
			}
			seen[name(i)] = i
		}
		return nil
	}
	for _, err := range []error{unique("site", len(s.Sites), func(i int) string { return s.Sites[i].Name }),
		unique("model", len(s.Models), func(i int) string { return s.Models[i].Name }),
		unique("class", len(s.Classes), func(i int) string { return s.Classes[i].Name }),
		unique("tenant", len(s.Tenants), func(i int) string { return s.Tenants[i].Name })} {
		if err != nil {
			return err
		}
	}
	nodes, routers, clients, models, classes, tenants := 0, 0, 0.0, 0.0, 0.0, 0.0
	for _, site := range s.Sites {
		nodes, routers, clients = nodes+site.Nodes, routers+site.Routers, clients+site.Share
	}
	for _, m := range s.Models {
		models += m.Share
	}
	for i, c := range s.Classes {
		classes += c.Share
		if c.Wanted > c.Deadline {
			return errorAt(fmt.Sprintf("class[%d].wanted", i), "%v is over the deadline, %v", c.Wanted.D(), c.Deadline.D())
		}
		if c.Effect == "keyed" && c.Memory == 0 {
			return errorAt(fmt.Sprintf("class[%d].memory", i), "a keyed class needs one")
		}
	}
	for _, t := range s.Tenants {
		tenants += t.Share * t.Usage
	}
	switch {
	case nodes == 0:
		return errorAt("site", "no site has a node")
	case routers == 0:
		return errorAt("site", "no site has a router")
	case clients == 0:
		return errorAt("site", "the shares of all sites are 0")
	case models == 0:
		return errorAt("model", "the shares of all models are 0")
	case classes == 0:
		return errorAt("class", "the shares of all classes are 0")
	case tenants == 0:
		return errorAt("tenant", "the shares of all tenants, or their usage, are 0")
	case s.Clients.Patience[0] > s.Clients.Patience[1]:
		return errorAt("clients.patience", "%v is over %v", s.Clients.Patience[0], s.Clients.Patience[1])
	case s.Shared.On && !s.Messages.On:
		return errorAt("shared.on", "routers share by messages, and messages.on is false")
	}
	for _, span := range []struct {
		key string
		of  [2]Duration
	}{{"discovery.lag", s.Discovery.Lag}, {"discovery.silent_lag", s.Discovery.SilentLag}, {"messages.delay", s.Messages.Delay}} {
		if span.of[0] > span.of[1] {
			return errorAt(span.key, "%v is over %v", span.of[0].D(), span.of[1].D())
		}
	}
	nodeNames, routerNames := s.NodeNames(), s.RouterNames()
	for i, t := range s.Troubles {
		key := func(name string) string { return fmt.Sprintf("trouble[%d].%s", i, name) }
		kind := kinds[t.Kind]
		switch {
		case t.Kind == "":
			return errorAt(key("kind"), "missing")
		case kind.needsFor && t.For == 0:
			return errorAt(key("for"), "%s needs one", t.Kind)
		case kind.needsSize && t.Size == 0:
			return errorAt(key("size"), "%s needs one", t.Kind)
		case kind.needsSize && t.Size > kind.sizeMost:
			return errorAt(key("size"), "%v is over %v, the most of %s", t.Size, kind.sizeMost, t.Kind)
		case t.At >= s.Length:
			return errorAt(key("at"), "%v is past the day's length, %v", t.At.D(), s.Length.D())
		case t.Site != "" && !slices.ContainsFunc(s.Sites, func(site Site) bool { return site.Name == t.Site }):
			return errorAt(key("site"), "there is no site %q", t.Site)
		case t.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == t.Class }):
			return errorAt(key("class"), "there is no class %q", t.Class)
		case t.Router != "" && !slices.Contains(routerNames, t.Router):
			return errorAt(key("router"), "there is no router %q; they are %s", t.Router, strings.Join(routerNames, ", "))
		case kind.strikes == "site" && t.Site == "":
			return errorAt(key("site"), "%s needs one", t.Kind)
		case kind.strikes == "nodes" && t.Kind != "deploy" && t.Part == 0 && len(t.Nodes) == 0 && t.Site == "":
			return errorAt(key("nodes"), "%s names no node: give nodes, part or site", t.Kind)
		case kind.strikes == "routers" && t.Part == 0 && t.Router == "" && t.Site == "":
			return errorAt(key("router"), "%s names no router: give router, part or site", t.Kind)
		case t.Kind == "disk-full" && !s.Stored.On:
			return errorAt(key("kind"), "disk-full strikes what routers store, and stored.on is false")
		case t.State != "kept" && !s.Stored.On:
			return errorAt(key("state"), "%s needs routers that store anything: stored.on is false", t.State)
		case t.To != "" && t.Kind != "router-link":
			return errorAt(key("to"), "only router-link has one")
		case t.To != "" && !slices.Contains(routerNames, t.To) && !slices.ContainsFunc(s.Sites, func(site Site) bool { return site.Name == t.To }):
			return errorAt(key("to"), "there is no router and no site %q", t.To)
		case t.Delay[0] > t.Delay[1]:
			return errorAt(key("delay"), "%v is over %v", t.Delay[0].D(), t.Delay[1].D())
		case t.Kind == "router-link" && !s.Messages.On:
			return errorAt(key("kind"), "router-link strikes messages, and messages.on is false")
		case t.Kind == "cut" && t.Router == "":
			return errorAt(key("router"), "cut needs the router that is cut off")
		}
		for j, name := range t.Nodes {
			if !slices.Contains(nodeNames, name) {
				return errorAt(fmt.Sprintf("trouble[%d].nodes[%d]", i, j), "there is no node %q", name)
			}
		}
	}
	return nil
}

// NodeNames returns the names of the nodes in the order of their sites: north-c1, north-c2, ...
func (s *Scenario) NodeNames() (names []string) {
	for _, site := range s.Sites {
		for i := range site.Nodes {
			names = append(names, fmt.Sprintf("%s-c%d", site.Name, i+1))
		}
	}
	return names
}

// RouterNames returns the names of the routers in the order of their sites: north-r1, ...
func (s *Scenario) RouterNames() (names []string) {
	for _, site := range s.Sites {
		for i := range site.Routers {
			names = append(names, fmt.Sprintf("%s-r%d", site.Name, i+1))
		}
	}
	return names
}

// Shorten reduces the run to its short length. The times of troubles are scaled with it; durations with a cause of their own, such
// as a node's warm-up, are not.
func (s *Scenario) Shorten() {
	if s.Short >= s.Length {
		return
	}
	part := float64(s.Short) / float64(s.Length)
	for i := range s.Troubles {
		t := &s.Troubles[i]
		t.At, t.For = Duration(float64(t.At)*part), Duration(max(float64(t.For)*part, min(float64(t.For), float64(2*time.Second))))
	}
	s.Length = s.Short
}

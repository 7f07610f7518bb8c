// Package clusterstate is what the system's processes know in common: the configuration, the servers, the cache routers and who
// holds which duty, as one state that changes by commands in the order of the log. Every process that applies the same
// commands holds the same state. It does no I/O.
package clusterstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
)

// Server states.
const (
	Open    = "open"
	Closing = "closing"
)

// Server is one life of a server, as it tells of itself.
type Server struct {
	ID       string `json:"id"`
	Service  string `json:"carrier"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Edition  string `json:"edition"`
	Slots    int    `json:"berths"`
	State    string `json:"state"`
	WarmupMS int64  `json:"warmup_ms"`
	Beat     uint64 `json:"postmark"` // of the call that changed it last
}

// Same tells whether two calls of one server say the same but for their number.
func (s Server) Same(o Server) bool {
	s.Beat, o.Beat, s.WarmupMS, o.WarmupMS = 0, 0, 0, 0
	return s == o
}

// Router is one cache router.
type Router struct {
	Node, Zone, Address string
	Weight              float64 // what it can carry beside the others, in Mbit/s; the part of the keys that it owns goes by it
	Inner               bool    // serves no clients: it is there for the others' sake alone
}

// Duty says which core machine looks after the silent, since which entry of the log.
type Duty struct {
	Holder string // the machine's IP
	Epoch  uint64
}

// Purge ends the use of copies: of one path of a host, or of all that carry a tag.
type Purge struct{ Host, Path, Tag string }

// Step is one change of the roster of cache routers. Steps of one command are one change of the table.
type Step struct {
	Router
	Gone  bool
	Index uint64 // of the command
}

// Taken remembers a configuration that was acknowledged.
type Taken struct {
	Version Version
	Digest  [32]byte
}

// State is the common knowledge. Its fields are read by their holder alone.
type State struct {
	Index      uint64 // of the last command applied
	Body       Text   // the configuration as it was put; empty before the first
	Version    Version
	Taken      []Taken
	Forgotten  Version // the newest one that stands in Taken no longer
	Servers    map[string]Server
	Left       []string // servers that have left in order, the last ones: a late call does not bring them back
	Routers    map[string]Router
	Roster     []Step // by which the roster came to be: tables are cut by it, step by step
	RosterBase uint64 // where Roster was begun anew
	Duty       Duty
	Purges     uint64                        // how many there were
	Parts      map[string]map[string]float64 // of services' rates, by service and node; nil where nothing was cut
	Usage      UsageLedger
}

const (
	mostTaken  = 1024
	mostLeft   = 1024
	mostRoster = 1024
	mostAlive  = 65536 // servers
)

// New returns the state before the first command.
func New() *State {
	return &State{Servers: map[string]Server{}, Routers: map[string]Router{}}
}

// Clone copies a state for others to keep.
func (s *State) Clone() *State {
	c := *s
	c.Servers, c.Routers = maps.Clone(s.Servers), maps.Clone(s.Routers)
	c.Taken, c.Left, c.Roster = slices.Clone(s.Taken), slices.Clone(s.Left), slices.Clone(s.Roster)
	c.Usage.Pending = slices.Clone(s.Usage.Pending)
	return &c
}

// Command is one change; one of its fields is set.
type Command struct {
	Put     Text     `json:"put,omitempty"`    // a configuration's body
	Change  *Delta   `json:"change,omitempty"` // a configuration, to one who holds the one before it
	Server  *Server  `json:"server,omitempty"`
	Leave   string   `json:"leave,omitempty"` // a server that has left in order
	Lost    string   `json:"lost,omitempty"`  // a server that has fallen silent
	Epoch   uint64   `json:"epoch,omitempty"` // with Lost, Absent, Cut and what is of usage: of the duty under which that was decided
	Purge   *Purge   `json:"purge,omitempty"`
	Enrol   []Router `json:"enrol,omitempty"`   // cache routers that have come, or moved
	Absent  string   `json:"absent,omitempty"`  // a router that has fallen silent
	Appoint string   `json:"appoint,omitempty"` // who takes the duty
	Cut     *Cut     `json:"cut,omitempty"`     // of a service's rate

	FixUsage   *UsageReport `json:"fix_usage,omitempty"`   // under Epoch: the counts of the next window, which change no more
	UsageTaken int64        `json:"usage_taken,omitempty"` // under Epoch: the platform has taken this window's report

	Taken *Manifest `json:"-"` // of a configuration that was taken, as it was read; not in the log
}

// Configures tells whether a command brings a configuration.
func (c Command) Configures() bool { return c.Put != nil || c.Change != nil }

// underDuty tells whether only the holder of the duty brings such a command, under its epoch.
func (c Command) underDuty() bool {
	return c.Lost != "" || c.Absent != "" || c.Cut != nil || c.FixUsage != nil || c.UsageTaken > 0
}

// Kind names what a command changes, for figures and logs.
func (c Command) Kind() string {
	switch {
	case c.Configures():
		return "configuration"
	case c.Server != nil && c.Server.State == Closing:
		return "closing"
	case c.Server != nil:
		return "server"
	case c.Leave != "":
		return "leave"
	case c.Lost != "":
		return "lost"
	case c.Purge != nil:
		return "purge"
	case len(c.Enrol) > 0:
		return "enrol"
	case c.Absent != "":
		return "absent"
	case c.Appoint != "":
		return "appoint"
	case c.Cut != nil:
		return "cut"
	case c.FixUsage != nil:
		return "fix usage"
	case c.UsageTaken > 0:
		return "usage taken"
	}
	return "none"
}

// Encode writes a command for the log.
func (c Command) Encode() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // plain structs
	}
	return text
}

// Decode reads a command of the log.
func Decode(data []byte) (c Command, err error) {
	if len(data) == 0 {
		return c, nil
	}
	err = json.Unmarshal(data, &c)
	return c, err
}

// The outcomes of a command.
const (
	Done    = 200
	Invalid = 400
	Stale   = 412 // another version is in place, or the duty has gone to another one
	// Forgotten: it may have been taken, so long ago that nobody knows. It is neither acknowledged nor refused.
	Forgotten = 503
)

// Outcome is what came of a command.
type Outcome struct {
	Status int
	Text   string // what was wrong

	taken      *Manifest
	unreadable bool // this copy can't make what the command stands for
}

// Apply takes the command at an index. The same commands bring the same state and outcomes everywhere.
func (s *State) Apply(index uint64, c Command) Outcome { return s.apply(index, c, new(reader)) }

func (s *State) apply(index uint64, c Command, r *reader) Outcome {
	s.Index = index
	switch {
	case c.Put != nil:
		return s.put(c.Put, r)
	case c.Change != nil:
		return s.change(c.Change, r)
	case c.Server != nil:
		return s.server(*c.Server)
	case c.Leave != "":
		s.leave(c.Leave)
	case c.Epoch < s.Duty.Epoch && c.underDuty():
		return Outcome{Status: Stale, Text: "the duty has gone to another machine"}
	case c.Cut != nil:
		return s.cut(c.Cut)
	case c.FixUsage != nil:
		return s.fixUsage(*c.FixUsage)
	case c.UsageTaken > 0:
		s.usageTaken(c.UsageTaken)
	case c.Lost != "":
		if s.Servers[c.Lost].State == Closing { // it has said that it goes: a late call does not open it again
			s.leave(c.Lost)
		}
		delete(s.Servers, c.Lost)
	case c.Absent != "":
		if r, ok := s.Routers[c.Absent]; ok {
			delete(s.Routers, c.Absent)
			s.step(Step{Router: r, Gone: true})
		}
	case c.Purge != nil:
		s.Purges++
	case len(c.Enrol) > 0:
		for _, r := range c.Enrol {
			if old, ok := s.Routers[r.Node]; !ok || old != r {
				s.Routers[r.Node] = r
				s.step(Step{Router: r})
			}
		}
	case c.Appoint != "":
		s.Duty = Duty{c.Appoint, index}
	}
	return Outcome{Status: Done}
}

// leave lets a server go for good.
func (s *State) leave(id string) {
	delete(s.Servers, id)
	if !slices.Contains(s.Left, id) {
		s.Left = keepLast(append(s.Left, id), mostLeft)
	}
}

func keepLast[T any](all []T, most int) []T {
	if len(all) > most {
		return slices.Clone(all[len(all)-most:])
	}
	return all
}

// step notes a change of the roster. When there are too many, the roster is written down anew and every table with it.
func (s *State) step(change Step) {
	change.Index = s.Index
	s.Roster = append(s.Roster, change)
	if len(s.Roster) <= mostRoster {
		return
	}
	s.Roster, s.RosterBase = nil, s.Index
	for _, node := range slices.Sorted(maps.Keys(s.Routers)) {
		s.Roster = append(s.Roster, Step{Router: s.Routers[node], Index: s.Index})
	}
}

func (s *State) server(now Server) Outcome {
	old, known := s.Servers[now.ID]
	switch {
	case slices.Contains(s.Left, now.ID), known && now.Beat <= old.Beat:
		return Outcome{Status: Done} // an older call that comes late
	case known && old.State == Closing && now.State == Open:
		now.State = Closing
	case !known && len(s.Servers) >= mostAlive:
		return Outcome{Status: Invalid, Text: "too many servers"}
	}
	s.Servers[now.ID] = now
	return Outcome{Status: Done}
}

const (
	fewRouters = 16
	strongPart = 0.5  // of the strongest router's weight: who carries as much may be a shield
	lenderPart = 0.25 // and who carries as much lends copies to others
)

func strong(routers map[string]Router, part float64) (nodes []string) {
	most := 0.0
	for _, r := range routers {
		most = max(most, r.Weight)
	}
	for node, r := range routers {
		if r.Weight >= part*most {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Lenders returns which of the cache routers lend copies to others: not those whose links are slivers beside others', for what goes by way of
// them is sent twice over such a link.
func Lenders(routers map[string]Router) map[string]bool {
	chosen := map[string]bool{}
	for _, n := range strong(routers, lenderPart) {
		chosen[n] = true
	}
	return chosen
}

// Shields returns which of the cache routers talk to the servers of objects: of the strong ones all, if they are few, else a part, for the
// servers take fewer connections than there are routers, and shares of their rate would be slivers. Of many, those are chosen that are first by
// a hash of their names, so that one that comes or goes changes one of them at most.
func Shields(routers map[string]Router) map[string]bool {
	order := strong(routers, strongPart)
	rank := func(s string) uint64 {
		h := uint64(14695981039346656037)
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		return h ^ h>>29
	}
	slices.SortFunc(order, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	if len(order) > fewRouters {
		order = order[:max(fewRouters, len(order)/4)]
	}
	chosen := make(map[string]bool, len(order))
	for _, n := range order {
		chosen[n] = true
	}
	return chosen
}

// CheckServer checks what a server says of itself.
func CheckServer(s Server) error {
	host, _, err := net.SplitHostPort(s.Address)
	switch {
	case s.ID == "" || len(s.ID) > 200:
		return fmt.Errorf("id: missing or too long")
	case s.Service == "":
		return fmt.Errorf("carrier: missing")
	case err != nil || net.ParseIP(host) == nil:
		return fmt.Errorf("address: %q is none", s.Address)
	case s.State != Open && s.State != Closing:
		return fmt.Errorf("state: %q is neither %s nor %s", s.State, Open, Closing)
	case s.Slots < 0:
		return fmt.Errorf("berths: under 0")
	}
	return nil
}

// put takes a configuration that came whole.
func (s *State) put(body []byte, r *reader) Outcome {
	m, digest, err := r.read(body)
	if err != nil {
		return Outcome{Status: Invalid, Text: err.Error()}
	}
	if out := s.compare(m.Version, m.Base, digest); out != nil {
		return *out
	}
	return s.takeManifest(m, body, digest)
}

// change takes a configuration that came as what it changes of the one before. A configuration that it does not make, though
// it was made from this very version, means that this copy differs from the others.
func (s *State) change(d *Delta, r *reader) Outcome {
	if out := s.compare(d.Version, d.Base, d.Sum); out != nil {
		return *out
	}
	body, err := d.Patch(s.Version, s.Body)
	if err != nil {
		return Outcome{Status: Invalid, Text: err.Error(), unreadable: true}
	}
	m, digest, err := r.read(body)
	switch {
	case digest != d.Sum:
		return Outcome{Status: Invalid, Text: "a delta that does not make its body", unreadable: true}
	case err != nil:
		return Outcome{Status: Invalid, Text: err.Error()}
	}
	return s.takeManifest(m, body, digest)
}

// compare is the one place where configurations are compared; nil means that this one is to be taken.
func (s *State) compare(version, base Version, digest [32]byte) *Outcome {
	for _, t := range s.Taken {
		if t.Version == version && t.Digest == digest {
			return &Outcome{Status: Done} // the same once more
		}
	}
	switch {
	case version <= s.Forgotten:
		return &Outcome{Status: Forgotten, Text: fmt.Sprintf("edition: what became of %s is no longer known", version)}
	case base != s.Version:
		return &Outcome{Status: Stale, Text: fmt.Sprintf("based_on: %s, but %s is in place", base, s.Version)}
	case version <= s.Version:
		return &Outcome{Status: Invalid, Text: fmt.Sprintf("edition: %s is not above %s", version, s.Version)}
	}
	return nil
}

// takeManifest is the one place where a configuration comes into force.
func (s *State) takeManifest(m *Manifest, body []byte, digest [32]byte) Outcome {
	s.Body, s.Version = body, m.Version
	s.keepParts(m)
	s.Taken = append(s.Taken, Taken{m.Version, digest})
	if old := len(s.Taken) - mostTaken; old > 0 {
		s.Forgotten = s.Taken[old-1].Version
		s.Taken = keepLast(s.Taken, mostTaken)
	}
	return Outcome{Status: Done, taken: m}
}

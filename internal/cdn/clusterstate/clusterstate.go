// Package clusterstate is the replicated state machine that all processes share: the configuration, the servers, the cache routers
// and the holder of the duty. Commands change it in the order of the log, and every process that applies the same commands holds
// the same state. The package does no I/O.
package clusterstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"unicode/utf8"
)

// Values of Server.State.
const (
	ServerOpen    = "open"
	ServerClosing = "closing" // it is about to leave, and does not open again
)

// Server is one incarnation of a server, as it registers itself.
type Server struct {
	ID       string `json:"id"`
	Service  string `json:"carrier"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Edition  string `json:"edition"`
	Slots    int    `json:"berths"`
	State    string `json:"state"`
	WarmupMS int64  `json:"warmup_ms"` // time until it is warm, in milliseconds; 0: it is warm
	Beat     uint64 `json:"postmark"`  // sequence number of the heartbeat that changed it last
}

// SameState reports whether two heartbeats of one server are equal apart from Beat and WarmupMS.
func (s Server) SameState(other Server) bool {
	s.Beat, other.Beat, s.WarmupMS, other.WarmupMS = 0, 0, 0, 0
	return s == other
}

// Router is a cache router as it stands in the roster.
type Router struct {
	Node, Zone, Address string
	Weight              float64 // its capacity in Mbit/s; the fraction of the keys that it owns is proportional to it
	Inner               bool    // it serves no clients, only other routers
}

// Duty names the one core machine that does the cluster's maintenance: it removes silent servers and routers, divides rates and reports
// usage.
type Duty struct {
	Holder string // the machine's IP
	Epoch  uint64 // index of the log entry that appointed it; commands under an older epoch are refused
}

// Purge invalidates cache entries: those of one path of a host, or all that carry a tag.
type Purge struct{ Host, Path, Tag string }

// Step is one change of the roster of cache routers. The steps of one command are one change of the table that assigns keys
// to routers.
type Step struct {
	Router
	Gone  bool
	Index uint64 // of the command
}

// Taken records a configuration that was acknowledged.
type Taken struct {
	Version Version
	Digest  [32]byte
}

// State is the replicated state. It has no lock: only its owner may read its fields.
type State struct {
	Index      uint64         // of the last command applied
	Body       CompressedText // the configuration as it was put; empty before the first
	Version    Version
	Taken      []Taken           // the last configurations acknowledged, the oldest first
	Forgotten  Version           // the newest version that was dropped from Taken
	Servers    map[string]Server // by ID
	Left       []string          // IDs of the last servers that left in order: a late heartbeat must not bring them back
	Routers    map[string]Router // by node
	Roster     []Step            // the changes that led to Routers; the tables that assign keys to routers are built from it, step by step
	RosterBase uint64            // index at which Roster was last compacted
	Duty       Duty
	Purges     uint64                        // number of purges so far
	Parts      map[string]map[string]float64 // fractions of services' rates, by service and node; nil where none were assigned
	Usage      UsageLedger
}

const (
	maxTaken   = 1024
	maxLeft    = 1024
	maxRoster  = 1024
	maxServers = 65536
)

// New returns the state before the first command.
func New() *State {
	return &State{Servers: map[string]Server{}, Routers: map[string]Router{}}
}

// Clone returns a copy that stays unchanged while s goes on.
func (s *State) Clone() *State {
	c := *s
	c.Servers, c.Routers = maps.Clone(s.Servers), maps.Clone(s.Routers)
	c.Taken, c.Left, c.Roster = slices.Clone(s.Taken), slices.Clone(s.Left), slices.Clone(s.Roster)
	c.Usage.Pending = slices.Clone(s.Usage.Pending)
	return &c
}

// Command is one entry of the log. One of its fields is set, apart from Epoch and Taken; none is set in a command that changes
// nothing.
type Command struct {
	Put     CompressedText `json:"put,omitempty"`    // a configuration's body
	Change  *Delta         `json:"change,omitempty"` // a configuration, as its difference from the one before it
	Server  *Server        `json:"server,omitempty"`
	Leave   string         `json:"leave,omitempty"` // ID of a server that has left in order
	Lost    string         `json:"lost,omitempty"`  // ID of a server that has fallen silent
	Epoch   uint64         `json:"epoch,omitempty"` // of the duty that decided this; with Lost, Absent, Cut, FixUsage and UsageTaken
	Purge   *Purge         `json:"purge,omitempty"`
	Enrol   []Router       `json:"enrol,omitempty"`   // cache routers that have joined, or whose entry has changed
	Absent  string         `json:"absent,omitempty"`  // node of a router that has fallen silent
	Appoint string         `json:"appoint,omitempty"` // IP of the new holder of the duty
	Cut     *RateDivision  `json:"cut,omitempty"`     // a new division of a service's rate

	FixUsage   *UsageReport `json:"fix_usage,omitempty"`   // the final counts of the next report window
	UsageTaken int64        `json:"usage_taken,omitempty"` // number of the window whose report the platform has accepted

	Taken *Manifest `json:"-"` // the parsed configuration, set if it came into force; not in the log
}

// HasConfig reports whether a command carries a configuration.
func (c Command) HasConfig() bool { return c.Put != nil || c.Change != nil }

// requiresDuty reports whether only the holder of the duty may issue such a command, under its epoch.
func (c Command) requiresDuty() bool {
	return c.Lost != "" || c.Absent != "" || c.Cut != nil || c.FixUsage != nil || c.UsageTaken > 0
}

// Kind names what a command changes, for metrics and logs.
func (c Command) Kind() string {
	switch {
	case c.HasConfig():
		return "configuration"
	case c.Server != nil && c.Server.State == ServerClosing:
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

// kinds are the values of Command.Kind.
var kinds = []string{"configuration", "closing", "server", "leave", "lost", "purge", "enrol", "absent", "appoint", "cut", "fix usage",
	"usage taken", "none"}

// KnownKind returns a kind that another process has named if it is one of Command.Kind, and "none" otherwise.
func KnownKind(kind string) string {
	if slices.Contains(kinds, kind) {
		return kind
	}
	return "none"
}

// Encode returns a command as it is written to the log.
func (c Command) Encode() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: plain structs always marshal
	}
	return text
}

// Decode parses an entry of the log. Empty data is the command that changes nothing.
func Decode(data []byte) (c Command, err error) {
	if len(data) == 0 {
		return c, nil
	}
	err = json.Unmarshal(data, &c)
	return c, err
}

// Values of Outcome.Status, which are also the HTTP status codes that clients see.
const (
	StatusOK      = 200
	StatusInvalid = 400
	StatusStale   = 412 // another version is in force, or the duty has passed to another machine
	// StatusUnknown means that the version is older than all that is remembered: whether it was accepted is unknown, so it is neither
	// acknowledged nor refused.
	StatusUnknown = 503
)

// Outcome is the result of applying a command.
type Outcome struct {
	Status int
	Text   string // the reason, if the command was refused

	installed   *Manifest // the configuration that came into force, if one did
	deltaFailed bool      // the delta does not apply to this replica, which therefore differs from the others
}

// Apply applies the command at an index of the log. It is deterministic: the same commands give the same state and outcomes everywhere.
func (s *State) Apply(index uint64, c Command) Outcome { return s.apply(index, c, new(reader)) }

func (s *State) apply(index uint64, c Command, r *reader) Outcome {
	s.Index = index
	switch {
	case c.Put != nil:
		return s.putConfig(c.Put, r)
	case c.Change != nil:
		return s.putDelta(c.Change, r)
	case c.Server != nil:
		return s.updateServer(*c.Server)
	case c.Leave != "":
		s.removeServer(c.Leave)
	case c.Epoch < s.Duty.Epoch && c.requiresDuty():
		return Outcome{Status: StatusStale, Text: "the duty has gone to another machine"}
	case c.Cut != nil:
		return s.applyRateDivision(c.Cut)
	case c.FixUsage != nil:
		return s.fixUsage(*c.FixUsage)
	case c.UsageTaken > 0:
		s.acknowledgeUsage(c.UsageTaken)
	case c.Lost != "":
		if s.Servers[c.Lost].State == ServerClosing { // it has announced that it leaves: a late heartbeat must not reopen it
			s.removeServer(c.Lost)
		}
		delete(s.Servers, c.Lost)
	case c.Absent != "":
		if r, ok := s.Routers[c.Absent]; ok {
			delete(s.Routers, c.Absent)
			s.recordStep(Step{Router: r, Gone: true})
		}
	case c.Purge != nil:
		s.Purges++
	case len(c.Enrol) > 0:
		for _, r := range c.Enrol {
			if old, ok := s.Routers[r.Node]; !ok || old != r {
				s.Routers[r.Node] = r
				s.recordStep(Step{Router: r})
			}
		}
	case c.Appoint != "":
		s.Duty = Duty{c.Appoint, index}
	}
	return Outcome{Status: StatusOK}
}

// removeServer removes a server and remembers its ID, so that a late heartbeat does not bring it back.
func (s *State) removeServer(id string) {
	delete(s.Servers, id)
	if !slices.Contains(s.Left, id) {
		s.Left = keepLast(append(s.Left, id), maxLeft)
	}
}

// keepLast returns the last items of a list, at most limit of them.
func keepLast[T any](items []T, limit int) []T {
	if len(items) > limit {
		return slices.Clone(items[len(items)-limit:])
	}
	return items
}

// recordStep appends a change to the roster. Past maxRoster changes the roster is compacted to one step per router, and the tables built
// from it are rebuilt.
func (s *State) recordStep(change Step) {
	change.Index = s.Index
	s.Roster = append(s.Roster, change)
	if len(s.Roster) <= maxRoster {
		return
	}
	s.Roster, s.RosterBase = nil, s.Index
	for _, node := range slices.Sorted(maps.Keys(s.Routers)) {
		s.Roster = append(s.Roster, Step{Router: s.Routers[node], Index: s.Index})
	}
}

// updateServer applies a server's heartbeat. Heartbeats may arrive late and out of order: Beat decides which one is newer.
func (s *State) updateServer(update Server) Outcome {
	current, known := s.Servers[update.ID]
	switch {
	case slices.Contains(s.Left, update.ID), known && update.Beat <= current.Beat:
		return Outcome{Status: StatusOK} // an older heartbeat that comes late
	case known && current.State == ServerClosing && update.State == ServerOpen:
		update.State = ServerClosing
	case !known && len(s.Servers) >= maxServers:
		return Outcome{Status: StatusInvalid, Text: "too many servers"}
	}
	s.Servers[update.ID] = update
	return Outcome{Status: StatusOK}
}

const (
	minShields            = 16   // of more candidates a quarter are shields, but at least this many
	shieldWeightRatio     = 0.5  // of the largest weight: a router with at least this much may be a shield
	peerSourceWeightRatio = 0.25 // of the largest weight: a router with at least this much serves cached responses to others
)

// routersByWeight returns the routers that have at least the given fraction of the largest weight, in no particular order.
func routersByWeight(routers map[string]Router, ratio float64) (nodes []string) {
	maxWeight := 0.0
	for _, r := range routers {
		maxWeight = max(maxWeight, r.Weight)
	}
	for node, r := range routers {
		if r.Weight >= ratio*maxWeight {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// PeerSources returns the cache routers that serve cached responses to other routers. Routers whose links are much slower than others'
// are left out, because what passes through them crosses such a link twice.
func PeerSources(routers map[string]Router) map[string]bool {
	chosen := map[string]bool{}
	for _, n := range routersByWeight(routers, peerSourceWeightRatio) {
		chosen[n] = true
	}
	return chosen
}

// Shields returns the cache routers that fetch objects from the servers (origin shields). Routers with enough weight are candidates. If
// they are few, all are shields; otherwise a part of them, because the servers accept fewer connections than there are routers and
// because each router's share of their rate would be too small. The first by a hash of their names are chosen, so that a router that
// joins or leaves changes at most one shield.
func Shields(routers map[string]Router) map[string]bool {
	candidates := routersByWeight(routers, shieldWeightRatio)
	nameHash := func(s string) uint64 {
		h := uint64(14695981039346656037)
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		return h ^ h>>29
	}
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Or(cmp.Compare(nameHash(a), nameHash(b)), cmp.Compare(a, b)) })
	if len(candidates) > minShields {
		candidates = candidates[:max(minShields, len(candidates)/4)]
	}
	chosen := make(map[string]bool, len(candidates))
	for _, n := range candidates {
		chosen[n] = true
	}
	return chosen
}

// maxNameBytes bounds each text of a server and of a router.
const maxNameBytes = 200

// CheckName returns an error if a server's ID is missing or too long.
func CheckName(id string) error {
	if id == "" || len(id) > maxNameBytes {
		return fmt.Errorf("id: missing or too long")
	}
	return nil
}

// CheckRouter validates a cache router's own description.
func CheckRouter(r Router) error {
	if r.Node == "" || max(len(r.Node), len(r.Zone), len(r.Address)) > maxNameBytes {
		return fmt.Errorf("node, zone or address: missing, or longer than %d bytes", maxNameBytes)
	}
	return nil
}

// CheckServer validates a server's registration.
func CheckServer(s Server) error {
	host, _, err := net.SplitHostPort(s.Address)
	switch {
	case CheckName(s.ID) != nil:
		return CheckName(s.ID)
	case len(s.Service) > maxNameBytes, len(s.Zone) > maxNameBytes, len(s.Edition) > maxNameBytes, len(s.Address) > maxNameBytes:
		return fmt.Errorf("carrier, zone, edition or address: longer than %d bytes", maxNameBytes)
	case !utf8.ValidString(s.ID) || strings.ContainsFunc(s.ID, isControl): // the log would hold another ID, and a header could not
		return fmt.Errorf("id: %q is not UTF-8 or has a control character", s.ID)
	case s.Service == "":
		return fmt.Errorf("carrier: missing")
	case err != nil || net.ParseIP(host) == nil:
		return fmt.Errorf("address: %q is none", s.Address)
	case s.State != ServerOpen && s.State != ServerClosing:
		return fmt.Errorf("state: %q is neither %s nor %s", s.State, ServerOpen, ServerClosing)
	case s.Slots < 0:
		return fmt.Errorf("berths: under 0")
	}
	return nil
}

// putConfig applies a configuration that is given in full.
func (s *State) putConfig(body []byte, r *reader) Outcome {
	m, digest, err := r.read(body)
	if err != nil {
		return Outcome{Status: StatusInvalid, Text: err.Error()}
	}
	if out := s.checkVersion(m.Version, m.Base, digest); out != nil {
		return *out
	}
	return s.installManifest(m, body, digest)
}

// putDelta applies a configuration that is given as its difference from the one before it. If the delta is based on this very version and
// yet does not yield its configuration, this replica differs from the others.
func (s *State) putDelta(d *Delta, r *reader) Outcome {
	if out := s.checkVersion(d.Version, d.Base, d.Sum); out != nil {
		return *out
	}
	body, err := d.Patch(s.Version, s.Body)
	if err != nil {
		return Outcome{Status: StatusInvalid, Text: err.Error(), deltaFailed: true}
	}
	m, digest, err := r.read(body)
	switch {
	case digest != d.Sum:
		return Outcome{Status: StatusInvalid, Text: "a delta that does not make its body", deltaFailed: true}
	case err != nil:
		return Outcome{Status: StatusInvalid, Text: err.Error()}
	}
	return s.installManifest(m, body, digest)
}

// checkVersion compares a configuration with the one in force and the ones acknowledged before; nil means that it is to be installed. No
// other code compares configurations.
func (s *State) checkVersion(version, base Version, digest [32]byte) *Outcome {
	for _, accepted := range s.Taken {
		if accepted.Version == version && accepted.Digest == digest {
			return &Outcome{Status: StatusOK} // a repeat of an acknowledged configuration
		}
	}
	switch {
	case version <= s.Forgotten:
		return &Outcome{Status: StatusUnknown, Text: fmt.Sprintf("edition: what became of %s is no longer known", version)}
	case base != s.Version:
		return &Outcome{Status: StatusStale, Text: fmt.Sprintf("based_on: %s, but %s is in place", base, s.Version)}
	case version <= s.Version:
		return &Outcome{Status: StatusInvalid, Text: fmt.Sprintf("edition: %s is not above %s", version, s.Version)}
	}
	return nil
}

// installManifest puts a configuration into force. No other code does.
func (s *State) installManifest(m *Manifest, body []byte, digest [32]byte) Outcome {
	s.Body, s.Version = body, m.Version
	s.pruneParts(m)
	s.Taken = append(s.Taken, Taken{m.Version, digest})
	if excess := len(s.Taken) - maxTaken; excess > 0 {
		s.Forgotten = s.Taken[excess-1].Version
		s.Taken = keepLast(s.Taken, maxTaken)
	}
	return Outcome{Status: StatusOK, installed: m}
}

// Package balance decides, for one router, which server gets each request and when the request is given up. It does
// no I/O: the host passes in batches of events with their time and carries out the actions that are returned.
package balance

import "time"

// Time is a reading of the host's clock in nanoseconds; its origin is arbitrary.
type Time int64

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the span from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// RequestID and ServerID are names that the host chooses; only their order has a meaning.
type (
	RequestID string
	ServerID  string
)

// Effect says whether a request of a class may be repeated once an attempt of it may have run.
type Effect int

// The effects, strictest first: never repeated, repeated by key within a Group, always repeated. The zero value is
// the strictest, so that a request whose effect is not stated is never repeated.
const (
	Unsafe Effect = iota
	Keyed
	Safe
)

// Group is the set of servers within which repeats of a keyed request are dropped.
type Group int

// The groups. The zero value is unknown and allows no repeat.
const (
	GroupNone Group = iota
	GroupAll
	GroupZone
	GroupCell
)

// Class is a kind of request and its service objectives.
type Class struct {
	Name         string
	Target       time.Duration // latency target: an answer within it has its full value
	Deadline     time.Duration // how long a client waits, over all its tries
	Priority     float64       // relative value of an answer
	LateShare    float64       // share of its value that an answer after Target still has
	Effect       Effect
	Group        Group
	RepeatWindow time.Duration // how long repeats are dropped, counted from the first attempt that may have run
}

// Tenant is a customer and its share of the service.
type Tenant struct {
	Name          string
	AllowancePerS float64 // requests per second over all routers
}

// Settings is the configuration of a router.
type Settings struct {
	Classes           []Class
	Tenants           []Tenant
	Routers           int  // routers that share the work
	Index             int  // index of this router among them, from 0
	PeerMessages      bool // routers may send each other messages
	Zone              string
	OverSharePriority float64       // factor on the priority of requests over a tenant's share
	CacheAside        bool          // cache-aside: caches answer a miss, and the router asks the origin itself
	OriginKind        string        // Kind of the list entry that is the origin; empty if there is none
	SubscribeToList   bool          // the list is only sent to subscribers
	SubscribeTimeout  time.Duration // a call for the list without an answer is repeated after half of this

	MaxAttempts      int           // per request; 0 means no limit
	MayCancel        bool          // attempts in flight may be cancelled
	ParallelAttempts bool          // two attempts of one request may be in flight at once
	MaxRetryAfter    time.Duration // the longest Retry-After that clients follow; 0 if they get none
	ConnectTimeout   time.Duration
	StreamsPerConn   int // attempts that one connection carries at once; 0 counts as 1

	ColdStartShare float64       // least share of its capacity that a server has at its start
	RampTime       time.Duration // time from a server's start until it has its full capacity
	OverloadFactor float64       // multiple of its capacity that overloads a server if sent for OverloadFor
	OverloadFor    time.Duration

	PriorAnswerRate float64 // answers per second and warm weight of 1 that this process's predecessor got; 0 if not known

	Tiers     func() Tiers     // creates the policy that confines requests to sites; nil if they are not confined
	Placement func() Placement // creates the placement of keys; nil for the interval table
}

// Placement maps keys to caches instead of the interval table. It belongs to one Balancer, which is its only caller.
type Placement interface {
	// SetWeights sets the caches that own keys, with their weights.
	SetWeights(weights map[ServerID]float64)
	// Owner returns the cache of a hashed key, or an empty id if there is none. Another hash gives the key's next cache.
	Owner(hash uint64) ServerID
}

// Tiers orders the sites in which a cache is selected for a request. It belongs to one Balancer, which is its only
// caller; it does no I/O and has no clock of its own.
type Tiers interface {
	// SetUp sets the number of caches that are up in each zone.
	SetUp(now Time, up map[string]int)
	// Order returns the tiers in which a cache is selected: a tier is used if those before it have no cache with capacity.
	// The slice is valid until the next call.
	Order(now Time, v RequestInfo) []Tier
	// AttemptBegun and AttemptEnded report the start and the end of an attempt at a zone's cache. AttemptBegun returns
	// whether the zone may have to fetch the key.
	AttemptBegun(now Time, zone string, key uint64, read, guest bool) (mayFetch bool)
	AttemptEnded(now Time, r AttemptResult)
	// View returns the state of each site, in order, and how many fetches for other sites' keys may be in flight at once.
	View() (sites []SiteView, fetches float64)
}

// SiteView is the state of one site, for logs.
type SiteView struct {
	Zone      string
	State     string
	KeyShare  float64       // share of its keys that it holds now
	Up        int           // caches listed as up
	FailShare float64       // smoothed share of attempts that got no answer
	Connect   time.Duration // smoothed time to connect; 0 if not known
}

// Tier is a zone and the part of each cache's limit that the request may use there: 1 at its home site, less as a
// guest of another site, 0 if there is no capacity for it now.
type Tier struct {
	Zone       string
	LimitShare float64
}

// RequestInfo describes a request to Tiers.Order.
type RequestInfo struct {
	Key              uint64  // hashed: uniform over all bits
	Read             bool    // it has a key, and caches may store the answer
	Safe             bool    // it may be repeated, whatever the result of the first attempt
	RelativePriority float64 // as a multiple of the mean of all requests
	Retry            bool    // an attempt has been made before
}

// AttemptResult is the result of an attempt at a zone's cache.
type AttemptResult struct {
	Zone     string
	Key      uint64
	Took     time.Duration
	Connect  time.Duration // time to open its connection; 0 if not known or if one was open
	Result   Result
	MayFetch bool // as returned by AttemptBegun
}

// State is a server's state in the list.
type State int

// The states.
const (
	Up State = iota
	Draining
	Gone
)

// Entry is one line of the server list.
type Entry struct {
	Server  ServerID
	Kind    string
	Zone    string
	Cell    int
	Weight  float64
	Started Time // 0 means long ago
	State   State
}

// ListKind says what the entries of a List cover.
type ListKind int

// The kinds of list event.
const (
	Partial   ListKind = iota // changed entries only
	Complete                  // all entries; servers that are missing are gone
	Persisted                 // all entries as last stored, possibly out of date
	Failed                    // a call failed or the subscription broke
)

// Event is an input of Handle: one of the types below.
type Event interface{ event() }

type (
	// List is an update of the server list.
	List struct {
		Kind    ListKind
		Version int64
		Entries []Entry
	}
	// Request is a client's request; it gets exactly one final answer, before Due.
	Request struct {
		ID     RequestID
		Class  string
		Tenant string
		Key    uint64
		HasKey bool
		Write  bool
		Due    Time
	}
	// Outcome is the result of an attempt.
	Outcome struct {
		ID       RequestID
		Attempt  int
		Server   ServerID
		Result   Result
		Fetching bool          // a miss while the server waits for another request's fetch of the key
		Done     bool          // the request is complete
		Connect  time.Duration // time to open a connection for it; 0 if one was open, or if not known
		Load     map[string]float64
	}
	// Opened says that a streamed answer has begun; from then on its attempt serves the client and is not cancelled.
	Opened struct {
		ID      RequestID
		Attempt int
		Server  ServerID
	}
	// ClientGone ends a request that needs no answer any more.
	ClientGone struct{ ID RequestID }
	// SettingsChanged sets new settings. Learned state stays, and requests in progress keep the class that they came with.
	SettingsChanged struct{ Settings }
	// PeerMessage is a message from another router.
	PeerMessage struct{ Content []byte }
	// Timer is the expiry of a SetTimer.
	Timer struct{ Token int64 }
)

func (List) event()            {}
func (Request) event()         {}
func (Outcome) event()         {}
func (Opened) event()          {}
func (ClientGone) event()      {}
func (SettingsChanged) event() {}
func (PeerMessage) event()     {}
func (Timer) event()           {}

// Result is how an attempt ended.
type Result int

// The results. An attempt with the zero value, unknown, counts as one that may have run.
const (
	Unknown   Result = iota
	OK               // answered
	Errored          // the server answered with an error
	Rejected         // rejected before processing
	TimedOut         // no answer in time
	NoConnect        // no connection could be opened
	Reset            // the connection broke
	Cancelled        // cancelled by the router
	NeverSent        // never sent
	Miss             // the cache lacks the key
	Malformed        // the answer was malformed
)

// HadNoEffect tells whether the result proves that the attempt had no effect.
func (r Result) HadNoEffect() bool {
	return r == Rejected || r == NoConnect || r == NeverSent || r == Miss
}

// Action is a command to the host: one of the types below.
type Action interface{ action() }

type (
	// Send starts an attempt, which ends by the request's Due at the latest.
	Send struct {
		ID     RequestID
		Server ServerID
	}
	// Refuse is a final answer which promises that a retry is harmless.
	Refuse struct {
		ID         RequestID
		RetryAfter time.Duration
	}
	// Fail is a final answer which promises nothing: the request may have run.
	Fail struct{ ID RequestID }
	// Cancel cancels an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer asks for a Timer with its token.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// SendPeerMessage sends a message to another router; it may be lost.
	SendPeerMessage struct {
		To      int
		Content []byte
	}
	// CloseIdle closes the server's connections that have no attempt in flight.
	CloseIdle struct{ Server ServerID }
	// Subscribe asks for the changes of the list.
	Subscribe struct{}
)

func (Send) action()            {}
func (Refuse) action()          {}
func (Fail) action()            {}
func (Cancel) action()          {}
func (SetTimer) action()        {}
func (SendPeerMessage) action() {}
func (CloseIdle) action()       {}
func (Subscribe) action()       {}

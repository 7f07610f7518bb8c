// Package scenario defines what a rehearsal runs: the fleet, its load, the troubles injected into it and what is expected of the
// routers. It parses scenario files strictly and reports errors with file, line and key.
package scenario

import (
	"fmt"
	"time"
)

// Duration is a duration in Go's notation: 80ms, 1.5s, 2m.
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText parses Go's notation of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time such as 80ms, 1.5s or 2m", text)
	}
	*d = Duration(span)
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Scenario describes one run. Its tags define the reference page and the checks: `help` is the meaning of a key, `least` and
// `most` are its bounds. Defaults are in Default.
type Scenario struct {
	Name   string   `toml:"name" help:"what the day is called in reports"`
	About  string   `toml:"about" help:"one sentence on what is rehearsed"`
	Base   string   `toml:"base" help:"a scenario that the kit brings, whose keys hold where this file has none; a list goes over its list"`
	WarmUp Duration `toml:"warm_up" least:"0s" most:"10m" help:"before the day begins clients ask three times as much at a quarter of the work, and the database is free, to fill caches; it is not in the score"`
	Length Duration `toml:"length" least:"1s" most:"2h" help:"how long clients ask"`
	Short  Duration `toml:"short" least:"1s" most:"2h" help:"the length with --short; the time line is drawn together alike"`
	Rate   float64  `toml:"rate" least:"0.1" most:"100000" help:"requests a second, first tries alone, over all routers"`
	Swing  float64  `toml:"swing" least:"0" most:"0.9" help:"by what part the rate goes up and down over the day"`

	Sites     []Site    `toml:"site"`
	Models    []Model   `toml:"model"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant"`
	Troubles  []Trouble `toml:"trouble"`
	Database  Database  `toml:"database"`
	Network   Network   `toml:"network"`
	Keys      Keys      `toml:"keys"`
	Clients   Clients   `toml:"clients"`
	Discovery Discovery `toml:"discovery"`
	Messages  Messages  `toml:"messages"`
	Tiers     Tiers     `toml:"tiers"`
	Stored    Stored    `toml:"stored"`
	Shared    Shared    `toml:"shared"`
	Placement Placement `toml:"placement"`
	Limits    Limits    `toml:"limits"`
	Rules     Rules     `toml:"rules"`
	Expect    Expect    `toml:"expect"`
}

// Site is a location with nodes, routers and clients.
type Site struct {
	Name    string  `toml:"name" help:"its name; nodes are listed with it as their zone"`
	Nodes   int     `toml:"nodes" least:"0" most:"10000" help:"cache nodes that stand here"`
	Routers int     `toml:"routers" least:"0" most:"10000" help:"routers that stand here"`
	Share   float64 `toml:"share" least:"0" most:"1" help:"of the clients; those of all sites are brought to a sum of 1"`
}

// Model is a kind of cache node.
type Model struct {
	Name     string   `toml:"name" help:"its name; it is the type that the list tells"`
	Share    float64  `toml:"share" least:"0" most:"1" help:"of the nodes; those of all models are brought to a sum of 1"`
	Cores    int      `toml:"cores" least:"1" most:"256" help:"requests that are worked on at once"`
	Speed    float64  `toml:"speed" least:"0.01" most:"100" help:"of a core; a class's work takes its time at speed 1"`
	Queue    int      `toml:"queue" least:"0" most:"100000" help:"requests that wait for a core; more are turned away"`
	Cache    int      `toml:"cache" least:"1" most:"10000000" help:"keys that are kept, the longest unused dropped first"`
	ColdFrom float64  `toml:"cold_from" least:"0.01" most:"1" help:"part of its speed at which a node starts"`
	ColdFor  Duration `toml:"cold_for" least:"0s" most:"1h" help:"after which a node has its full speed"`
	ConnWork Duration `toml:"conn_work" least:"0s" most:"1s" help:"work that a new connection adds to its first request"`
	ConnMost int      `toml:"conn_most" least:"1" most:"100000" help:"connections that a node holds; more are turned away"`
	Idle     Duration `toml:"idle" least:"100ms" most:"1h" help:"after which a node closes an idle connection"`
}

// Class is one kind of request.
type Class struct {
	Name      string   `toml:"name" help:"its name, and the first part of its paths"`
	Share     float64  `toml:"share" least:"0" most:"1" help:"of the requests; those of all classes are brought to a sum of 1"`
	Work      Duration `toml:"work" least:"100us" most:"1m" help:"mean work of a request at speed 1"`
	Spread    float64  `toml:"spread" least:"0" most:"5" help:"standard deviation of the work, as a part of its mean (lognormal)"`
	Wanted    Duration `toml:"wanted" least:"1ms" most:"10m" help:"an answer within this earns all its worth"`
	Deadline  Duration `toml:"deadline" least:"1ms" most:"10m" help:"how long a client waits over all its tries"`
	Worth     float64  `toml:"worth" least:"0" most:"1000" help:"what a request is worth"`
	LateShare float64  `toml:"late_share" least:"0" most:"1" help:"of its worth that a late answer earns"`
	Effect    string   `toml:"effect" oneof:"safe,keyed,unsafe" help:"how far it may be repeated"`
	Memory    Duration `toml:"memory" least:"0s" most:"1h" help:"for how long nodes drop a repeat of a keyed request"`
	Write     bool     `toml:"write" help:"whether it writes its key: it goes on to the database and voids kept copies"`
}

// Tenant is a customer.
type Tenant struct {
	Name  string  `toml:"name" help:"its name"`
	Share float64 `toml:"share" least:"0" most:"1" help:"of the service that it has paid for"`
	Usage float64 `toml:"usage" least:"0" most:"100" help:"what it asks for, as a multiple of its share of the rate"`
}

// Database is the origin behind the cache nodes.
type Database struct {
	Workers  int      `toml:"workers" least:"1" most:"100000" help:"fetches and writes that are worked on at once"`
	Time     Duration `toml:"time" least:"100us" most:"1m" help:"that one takes"`
	Queue    int      `toml:"queue" least:"0" most:"1000000" help:"that wait; more fail"`
	Fall     float64  `toml:"fall" least:"0" most:"1000" help:"asked for this multiple of what it can do it stalls; 0: never"`
	FallFor  Duration `toml:"fall_for" least:"100ms" most:"10m" help:"once that has gone on for so long"`
	StallFor Duration `toml:"stall_for" least:"0s" most:"10m" help:"for how long it stalls then"`
}

// Network is the latency between machines.
type Network struct {
	Same  Duration `toml:"same" least:"0s" most:"1s" help:"one way within a site"`
	Cross Duration `toml:"cross" least:"0s" most:"1s" help:"one way between sites"`
}

// Keys is the distribution of requested keys.
type Keys struct {
	Count   int     `toml:"count" least:"1" most:"100000000" help:"how many there are"`
	Zipf    float64 `toml:"zipf" least:"0" most:"3" help:"the exponent of their popularity; 0: all alike"`
	Changes float64 `toml:"changes" least:"0" most:"10000" help:"how often a second a popular key loses its rank to another one"`
	Offset  float64 `toml:"offset" least:"0" most:"10000" help:"ranks that the head of the popularity is flattened by"`
}

// Clients is the clients' behaviour.
type Clients struct {
	Connections int        `toml:"connections" least:"1" most:"10000" help:"that are kept open to each router at most while idle"`
	Patience    [2]float64 `toml:"patience" least:"0.01" most:"1" help:"part of its class's deadline that one try is given, drawn between the two"`
	Retries     int        `toml:"retries" least:"0" most:"20" help:"tries after the first"`
	Backoff     Duration   `toml:"backoff" least:"0s" most:"1m" help:"mean wait before the first retry; it doubles with each"`
	Honour      float64    `toml:"honour" least:"0" most:"1" help:"part of the clients that heed Retry-After"`
	Notice      Duration   `toml:"notice" least:"0s" most:"1m" help:"after which clients are led away from a dead router"`
	OverShare   float64    `toml:"over_share" least:"0" most:"1" help:"what a tenant's traffic over its share is worth, as a part of the usual"`
}

// Discovery is how routers learn of nodes.
type Discovery struct {
	Mode      string      `toml:"mode" oneof:"push,on_request" help:"whether changes come by themselves or to those who ask; routers are told, and watch either way"`
	Lag       [2]Duration `toml:"lag" least:"0s" most:"10m" help:"after which a change is told to a router, drawn between the two"`
	SilentLag [2]Duration `toml:"silent_lag" least:"0s" most:"10m" help:"the same for nodes that have died or gone silent"`
	Starts    bool        `toml:"starts" help:"whether the list tells when a node has started"`
}

// Messages are the datagrams between routers.
type Messages struct {
	On    bool        `toml:"on" help:"whether routers may send them"`
	Delay [2]Duration `toml:"delay" least:"0s" most:"1m" help:"that they take, drawn between the two"`
	Loss  float64     `toml:"loss" least:"0" most:"1" help:"part of them that is lost"`
}

// Tiers are the operators' settings for sites: [sites] in the operators' file that routers read.
type Tiers struct {
	On     bool     `toml:"on" help:"whether routers keep to sites, their own first"`
	Prefer []string `toml:"prefer" help:"sites by preference, at all routers alike; left out: a router's own, then by the time to connect"`
	Spill  float64  `toml:"spill" least:"0" most:"1" help:"part of each node's limit that requests of other sites may hold; 0: as the router has it"`
	Hold   Duration `toml:"hold" least:"0s" most:"10m" help:"least time on each step of a return; 0: as the router has it"`
}

// Stored is the operators' setting for stored state: [state] in the operators' file that routers read.
type Stored struct {
	On bool `toml:"on" help:"whether routers have a disk that lasts, and store their state there"`
}

// Shared is the operators' setting for state that routers share: [shared] in the operators' file that routers read.
type Shared struct {
	On bool `toml:"on" help:"whether routers share operators' orders, by messages; on sockets alone"`
}

// Placement is the operators' setting for where keys belong: [placement] in the operators' file that routers read.
type Placement struct {
	By string `toml:"by" oneof:"cuts,list" help:"what decides where a key belongs: cuts of the interval table, or the list alone"`
}

// Limits are the resource limits of a router.
type Limits struct {
	Cores       float64 `toml:"cores" least:"0.01" most:"256" help:"of its machine; told to the router and not enforced"`
	MemoryMB    int     `toml:"memory_mb" least:"32" most:"1000000" help:"that it may take; over it the router is killed"`
	Descriptors int     `toml:"descriptors" least:"64" most:"1000000" help:"that it may hold; the system gives it no more"`
}

// Rules are the thresholds of the four rules and what routers are allowed to do.
type Rules struct {
	DrainGrace    Duration `toml:"drain_grace" least:"0s" most:"1m" help:"after being told of a drain, in which sends are still right"`
	Fall          float64  `toml:"fall" least:"1" most:"1000" help:"a cold node sent this multiple of what it can do falls over"`
	FallFor       Duration `toml:"fall_for" least:"100ms" most:"10m" help:"once that has gone on for so long"`
	MaxAttempts   int      `toml:"max_attempts" least:"1" most:"100" help:"sends of one request"`
	MayCancel     bool     `toml:"may_cancel" help:"whether routers may withdraw a send"`
	RetryAfter    bool     `toml:"retry_after" help:"whether routers may tell clients when to come back"`
	MaxRetryAfter Duration `toml:"max_retry_after" least:"0s" most:"10m" help:"the longest such advice"`
	ConnectWithin Duration `toml:"connect_within" least:"10ms" most:"1m" help:"a connection that does not come up by then is given up"`
}

// Trouble is one fault, injected at At for the duration For.
type Trouble struct {
	Kind   string   `toml:"kind" oneof:"crash,router-link,router-stall,router-crash-loop,disk-full,silence,freeze,errors,hot-key,turn-away,slow,spoil,cut,site-loss,burst,heavy,flush,deploy,shrink,grow,discovery-silence,discovery-stale,discovery-flap,router-kill,router-stop,router-reload,bad-clients,database-stall" help:"what happens; see the table of kinds"`
	At     Duration `toml:"at" least:"0s" most:"2h" help:"when it begins"`
	For    Duration `toml:"for" least:"0s" most:"2h" help:"how long it lasts; what has died comes back then, cold"`
	Part   float64  `toml:"part" least:"0" most:"1" help:"part of the nodes or routers that it strikes, drawn by the seed; at least one"`
	Nodes  []string `toml:"nodes" help:"the nodes that it strikes, by name, in place of part"`
	Site   string   `toml:"site" help:"only what stands at this site"`
	Router string   `toml:"router" help:"the router that it strikes, by name; cut: the one that is cut off"`
	Size   float64  `toml:"size" least:"0" most:"1000" help:"how much: multiple of the rate, of the work, part of the answers, or how often, by kind"`
	Class  string   `toml:"class" help:"only requests of this class (heavy)"`
	With   bool     `toml:"with_routers" help:"whether the site's routers go with it (site-loss)"`

	To      string      `toml:"to" help:"router-link: the other end, a router or a site; left out: all other routers"`
	Way     string      `toml:"way" oneof:"both,out,in" help:"router-link: what is struck, of what the routers send (out) and hear (in)"`
	Loss    float64     `toml:"loss" least:"0" most:"1" help:"router-link: part of the messages that is lost; with no loss, delay, repeats or reorder given, all are"`
	Delay   [2]Duration `toml:"delay" least:"0s" most:"10m" help:"router-link: that messages take beside the usual time, drawn between the two"`
	Repeats float64     `toml:"repeats" least:"0" most:"1" help:"router-link: part of the messages that comes twice"`
	Reorder float64     `toml:"reorder" least:"0" most:"1" help:"router-link: part of the messages that is held until a later one has overtaken it, half a second at most"`
	State   string      `toml:"state" oneof:"kept,lost,old,torn" help:"the same kinds, with stored.on: what a restarted router finds of what it had stored: all, nothing, what stood there at the day's beginning, or the newest file cut short"`
	Known   string      `toml:"known" oneof:"current,old" help:"router-kill, router-stop, router-crash-loop: the list that a restarted router finds in its configuration: discovery's of that moment, or that of the day's beginning"`
}

// Expect is what a run must achieve; what is left out is not checked. The rules must hold in every run.
type Expect struct {
	Score        *float64 `toml:"score" least:"0" most:"1" help:"least score"`
	WorstWindow  *float64 `toml:"worst_window" least:"0" most:"1" help:"least score of any ten seconds"`
	DatabasePeak *float64 `toml:"database_peak" least:"0" most:"1000" help:"most work asked of the database in a second, as a multiple of what it can do"`
	MemoryMB     *float64 `toml:"memory_mb" least:"1" most:"1000000" help:"most memory of any router"`

	FullServiceS  *float64 `toml:"full_service_s" least:"0" most:"7200" help:"most seconds from the end of the last trouble to full service: ten seconds in a row that each earn 95% of the part earned in the ten before the first one"`
	PeakDials     *float64 `toml:"peak_dials" least:"0" most:"100000" help:"busiest second of connections opened to nodes, around any trouble, as a multiple of the mean of the ten seconds before"`
	PeakListCalls *float64 `toml:"peak_list_calls" least:"0" most:"100000" help:"the same of calls to discovery"`
	PeakFetches   *float64 `toml:"peak_fetches" least:"0" most:"100000" help:"the same of what the database is asked for"`
	FetchesOfCan  *float64 `toml:"peak_fetches_of_can" least:"0" most:"1000" help:"busiest second of what the database is asked for around any trouble, as a multiple of what it can do"`
	PeakColdSends *float64 `toml:"peak_cold_sends" least:"0" most:"100000" help:"busiest second of sends to nodes that are not warm, as a multiple of the mean of the ten seconds before"`
	StaleSends    *float64 `toml:"stale_sends" least:"0" most:"1000000" help:"most sends to nodes of which the router had been told, before a restart or after, that they drain or are gone"`
	StaleRefusals *float64 `toml:"stale_refusals" least:"0" most:"1000000" help:"most requests refused unsent by a router whose last five sends, of the last two seconds, had all ended well and quickly"`
}

// Default returns the values of keys that a file leaves out. Lists have no default: each file has its own.
func Default() Scenario {
	return Scenario{
		WarmUp: Duration(8 * time.Second), Length: Duration(30 * time.Second), Short: Duration(15 * time.Second), Rate: 70, Swing: 0.1,
		Database:  Database{Workers: 8, Time: Duration(120 * time.Millisecond), Queue: 100, Fall: 3, FallFor: Duration(3 * time.Second), StallFor: Duration(5 * time.Second)},
		Network:   Network{Same: Duration(200 * time.Microsecond), Cross: Duration(2 * time.Millisecond)},
		Keys:      Keys{Count: 20000, Zipf: 1, Offset: 4},
		Clients:   Clients{Connections: 32, Patience: [2]float64{0.5, 0.8}, Retries: 2, Backoff: Duration(150 * time.Millisecond), Honour: 0.9, Notice: Duration(2 * time.Second), OverShare: 0.2},
		Discovery: Discovery{Mode: "push", Lag: [2]Duration{Duration(time.Second), Duration(3 * time.Second)}, SilentLag: [2]Duration{Duration(4 * time.Second), Duration(12 * time.Second)}, Starts: true},
		Messages:  Messages{On: true, Delay: [2]Duration{Duration(time.Millisecond), Duration(20 * time.Millisecond)}, Loss: 0.02},
		Placement: Placement{By: "cuts"},
		Limits:    Limits{Cores: 1, MemoryMB: 192, Descriptors: 1024},
		Rules: Rules{DrainGrace: Duration(2 * time.Second), Fall: 4, FallFor: Duration(2 * time.Second), MaxAttempts: 4, MayCancel: true,
			RetryAfter: true, MaxRetryAfter: Duration(2 * time.Second), ConnectWithin: Duration(250 * time.Millisecond)},
	}
}

// The defaults of keys that an entry of a list leaves out.
var (
	defaultModel = Model{Share: 1, Cores: 2, Speed: 1, Queue: 8, Cache: 2000, ColdFrom: 0.25, ColdFor: Duration(15 * time.Second),
		ConnWork: Duration(time.Millisecond), ConnMost: 1000, Idle: Duration(5 * time.Second)}
	defaultClass = Class{Share: 1, Work: Duration(100 * time.Millisecond), Spread: 1, Wanted: Duration(1200 * time.Millisecond),
		Deadline: Duration(4 * time.Second), Worth: 1, LateShare: 0.3, Effect: "safe"}
	defaultTenant  = Tenant{Share: 1, Usage: 1}
	defaultSite    = Site{Share: 1}
	defaultTrouble = Trouble{Way: "both", Known: "current", State: "kept"}
)

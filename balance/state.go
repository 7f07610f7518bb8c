package balance

import (
	"math/rand/v2"
	"time"
)

// Balancer is one router's decisions. Its fields belong to the goroutine that calls Handle.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	now      Time
	aim      time.Duration // the shortest aim of any class: the pace at which the service is judged
	acts     []Action
	table    table
	servers  map[ServerID]*server
	caches   []*server // the table's owners, by id
	origin   *server   // the origin in aside mode, if listed
	requests map[RequestID]*request
	fetches  map[uint64]*request // by key: the read that has the origin's fetch in hand
	timers   map[int64]func()
	token    int64
	out      int           // attempts in flight to caches
	weight   float64       // of caches
	retries  float64       // the retry budget
	latency  time.Duration // smoothed time to an answer of the caches
	warm     meter         // what the warm caches answer
	shares   []meter       // what each tenant has asked for
	asks     int           // calls for the list that failed, in a row
	asked    bool          // a call for the list is out
}

// server is what the router knows of one cache, or of the origin.
type server struct {
	Entry
	out     int           // attempts in flight
	limit   float64       // concurrency limit, of this router alone
	latency time.Duration // smoothed time to an answer
	cut     Time          // the last cut of limit
	queue   []*request    // waiting for a place, by worth, then by age
	heard   Time          // last answer of any kind
	fails   int           // failures in a row
	ejected Time          // not used before; 0 when in use
	backoff time.Duration // of the next ejection
	back    Time          // when it came back from an ejection
	tokens  float64       // budget while it is cold
	filled  Time          // when tokens was last brought up to date
}

// attempt is one Send.
type attempt struct {
	to   *server
	sent Time
	open bool
	idle bool // proved never to have run
	anew bool // its server may be asked again: what it missed has been fetched since
}

// request is one client's request until its answer is given and its attempts have ended.
type request struct {
	Request
	class    *Class
	hash     uint64
	worth    float64
	arrived  Time
	attempts []attempt
	out      int
	at       *server // whose queue it waits in
	done     bool
	streams  bool
	waited   bool // has waited for another's fetch before
	waiters  []*request
}

// meter is a rate that fades over a span.
type meter struct {
	count float64
	at    Time
}

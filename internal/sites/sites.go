// Package sites decides in which sites a router's requests are served, in what order and by how much: at home while that
// is well, at the next site up to a limit while it is not, and home again in steps. It does no I/O and reads no clock.
package sites

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"cedarmast/balance"
)

// Config is what operators say of sites. Its zero value is not usable; Fill gives what was left out.
type Config struct {
	Prefer []string      // sites by preference, the router's own first; empty: Home, then by the time to connect
	Home   string        // the router's own site, where Prefer is empty; empty as well: the nearest
	Spill  float64       // the part of each cache's limit that requests of other sites may hold, over 0 to 1
	Steps  []float64     // the parts of its keys that a site has again after a loss, one after the other, rising, under 1
	Hold   time.Duration // the least time on a step
	Aim    time.Duration // the shortest aim of any class: the pace at which a site is judged
	Share  float64       // this router's part of all, as far as it can know: what it begins with
}

// Defaults for what Config leaves out. Steps double, as what is not yet warm costs as much at each as at all before.
var (
	defaultSteps = []float64{1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2}
	defaultSpill = 0.5
	holdAims     = 4 // aims that a step is held: a fetch and the answers that tell of it come well within
)

// Fill returns c with defaults.
func (c Config) Fill() Config {
	if c.Spill == 0 {
		c.Spill = defaultSpill
	}
	if len(c.Steps) == 0 {
		c.Steps = defaultSteps
	}
	if c.Aim <= 0 {
		c.Aim = time.Second
	}
	if c.Hold == 0 {
		c.Hold = time.Duration(holdAims) * c.Aim
	}
	if !(c.Share > 0) {
		c.Share = 1
	}
	return c
}

// Check names the first key that is faulty, as it is written in the operators' file.
func (c Config) Check() error {
	if c.Spill < 0 || c.Spill > 1 || math.IsNaN(c.Spill) {
		return fmt.Errorf("spill: %v is not within 0 and 1", c.Spill)
	}
	if c.Hold < 0 {
		return fmt.Errorf("hold: %v is under 0", c.Hold)
	}
	for i, name := range c.Prefer {
		if name == "" {
			return fmt.Errorf("prefer[%d]: empty", i)
		}
		if slices.Contains(c.Prefer[:i], name) {
			return fmt.Errorf("prefer[%d]: %q stands there twice", i, name)
		}
	}
	last := 0.0
	for i, step := range c.Steps {
		if !(step > last && step < 1) {
			return fmt.Errorf("steps[%d]: %v is not over %v and under 1", i, step, last)
		}
		last = step
	}
	if len(c.Steps) > mostSteps {
		return errors.New("steps: more than 16")
	}
	return nil
}

const (
	mostSteps  = 16
	forgetSite = time.Hour // after it was listed last
)

// State is what a router holds of a site.
type State int

// The states, each with its ways in and out; docs/design/sites.md has the table.
const (
	Home      State = iota // it has all its keys
	Failing                // half of what is sent there finds nobody: it keeps failingPart of its keys
	Lost                   // nobody has answered there for an aim, or none of its caches is listed: single trials go there
	Returning              // a trial was answered: it has a growing part of its keys
)

func (s State) String() string { return [...]string{"home", "failing", "lost", "returning"}[s] }

const (
	memory      = 12.0     // attempts over which a site's absences are averaged
	failAt      = 0.5      // of them found nobody: failing
	lostAt      = 0.8      // and nobody has answered for an aim: lost
	wellAt      = 0.2      // back from failing, or on to the next step: well under failAt, so that an edge does not flap
	failingPart = 0.25     // of its keys that a failing site keeps: enough to see what becomes of it
	trialsMost  = 4        // aims between trials at most
	holdMost    = 8        // times that a step's time is drawn out by relapses
	lookEvery   = 256      // safe requests for one that goes to a site whose distance is not known yet
	looksMost   = 8        // of them to a site: where no time to connect is told they teach nothing
	nearer      = 0.8      // of another's time to connect makes a site the nearer one
	firstNews   = 24.0     // fetches out at once that routers together begin with
	newsMemory  = 8        // fetches over which their time is averaged
	newsCut     = 0.85     // what a late or failed fetch leaves of them
	newsFloor   = 1.0 / 16 // of a fetch: below one it is drawn, so that something is still learned
	knownMost   = 1 << 15  // keys in each of two generations of what sites are known to hold
)

// site is what is held of one.
type site struct {
	name    string
	up      int // caches listed as up
	state   State
	step    int          // while returning
	resume  int          // the step that its next return begins with
	since   balance.Time // of state and step
	absent  float64      // smoothed part of attempts that found nobody
	heard   balance.Time // the last answer of any kind
	open    int          // attempts out
	drawn   float64      // by how much a step's time is drawn out, from 1
	trial   balance.Time // no trial before
	backoff time.Duration
	connect time.Duration // smoothed; 0: not known
	looks   int
	epoch   uint32 // goes into what is known of its keys: none after a loss
}

// Tiers is one router's. It belongs to the balance.Balancer that it was made for.
type Tiers struct {
	set   Config
	sites map[string]*site
	order []*site // by preference
	tiers []balance.Tier
	asked int // safe requests, for looks

	news     float64 // fetches that may be out at once
	newsOut  int
	newsTook time.Duration // smoothed
	newsCut  balance.Time
	draw     uint64
	known    [2]map[uint64]struct{}
}

// New returns the tiers of one router. The configuration is to have passed Check.
func New(c Config) *Tiers {
	c = c.Fill()
	return &Tiers{set: c, sites: map[string]*site{}, news: max(firstNews*c.Share, newsFloor), newsTook: c.Aim / 8,
		known: [2]map[uint64]struct{}{{}, {}}}
}

var _ balance.Tiers = (*Tiers)(nil)

// Listed takes the list's word of how many caches are up. A site with none is lost at once; one that is listed again is
// tried, whatever the list says of its starts.
func (t *Tiers) Listed(now balance.Time, up map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(up)) {
		if t.sites[name] == nil {
			t.sites[name] = &site{name: name, drawn: 1, since: now, heard: now}
		}
	}
	for name, s := range t.sites {
		was := s.up
		switch s.up = up[name]; {
		case s.up == 0 && s.state != Lost:
			t.move(now, s, Lost)
		case s.up > 0 && was == 0:
			s.trial = now
		case s.up == 0 && s.open == 0 && now.Sub(s.since) > forgetSite:
			delete(t.sites, name)
		}
	}
	t.sort()
}

// sort orders the sites: as stated, else home first and the nearer before the farther; unknown ones go last, by name.
func (t *Tiers) sort() {
	rank := func(s *site) (int, time.Duration) {
		if i := slices.Index(t.set.Prefer, s.name); i >= 0 {
			return i, 0
		}
		switch {
		case len(t.set.Prefer) == 0 && s.name == t.set.Home:
			return -1, 0
		case s.connect == 0:
			return math.MaxInt, 0
		}
		return math.MaxInt - 1, s.connect
	}
	t.order = t.order[:0]
	for _, s := range t.sites {
		t.order = append(t.order, s)
	}
	slices.SortFunc(t.order, func(a, b *site) int {
		ra, ca := rank(a)
		rb, cb := rank(b)
		return cmp.Or(cmp.Compare(ra, rb), cmp.Compare(ca, cb), cmp.Compare(a.name, b.name))
	})
	t.tiers = slices.Grow(t.tiers[:0], len(t.order)+1)
}

// Order tells where a request may be served. Its own site comes first if the key is one of those that the site has now;
// then, as a guest, each other site that has it. A lost site comes before all for a trial. While no site is well those that
// are not lost serve as they can, and with none of them whoever is listed.
func (t *Tiers) Order(now balance.Time, v balance.Visit) []balance.Tier {
	t.tiers = t.tiers[:0]
	if len(t.order) == 0 {
		return append(t.tiers, balance.Tier{Part: 1}) // no cache is listed: all are drawn from, and none is found
	}
	if v.Safe {
		t.asked++
		if s := t.unknown(); s != nil && t.asked%lookEvery == 0 {
			s.looks++
			t.guest(s, v)
		}
	}
	home, well := t.order[0], 0
	for _, s := range t.order {
		if s.state == Home {
			well++
		}
		if s != home && s.state == Lost && !v.Again && t.has(now, s, v, 1) { // a trial, or nobody would know of its return
			t.guest(s, v)
		}
	}
	// What found nobody at home is not to wait there once more, nor to use up a trial.
	has := !(v.Again && home.absent > wellAt) && t.has(now, home, v, well)
	fetches := home.state != Returning || t.mayFetch(home, v)
	if has && fetches {
		t.tiers = append(t.tiers, balance.Tier{Zone: home.name, Part: 1})
	}
	for _, s := range t.order[1:] {
		if s.state != Lost && t.has(now, s, v, well) {
			t.guest(s, v)
		}
	}
	if !has && fetches && home.state != Lost { // rather than refuse what no other site has a place for
		t.tiers = append(t.tiers, balance.Tier{Zone: home.name, Part: 1})
	}
	if len(t.tiers) == 0 { // nobody is well: whoever is listed is asked, and the rules for single caches hold
		for _, s := range t.order {
			if s.up > 0 {
				t.tiers = append(t.tiers, balance.Tier{Zone: s.name, Part: 1})
			}
		}
	}
	return t.tiers
}

// guest adds a site for a request whose own it is not.
func (t *Tiers) guest(s *site, v balance.Visit) {
	part := t.set.Spill
	if part >= 1 {
		part = math.Nextafter(1, 0) // it stays a guest
	}
	if !t.mayFetch(s, v) {
		part = 0
	}
	t.tiers = append(t.tiers, balance.Tier{Zone: s.name, Part: part})
}

// has tells whether a request belongs to a site now. Which keys those are is the same at every router, and keys that have
// gone home stay there as the part grows.
func (t *Tiers) has(now balance.Time, s *site, v balance.Visit, well int) bool {
	if s.state == Home || well == 0 && s.state != Lost { // the last one standing keeps all
		return true
	}
	part := failingPart
	switch s.state {
	case Lost:
		if s.up == 0 || !v.Safe || now < s.trial {
			return false
		}
		s.trial = now.Add(s.backoff) // one trial, and no more until its time
		return true
	case Returning:
		t.climb(now, s)
		if s.state == Home {
			return true
		}
		part = t.set.Steps[s.step]
	}
	return float64(uint16(v.Key)) < part*(1<<16)
}

// climb takes a returning site to its next step once it has been well on this one for long enough.
func (t *Tiers) climb(now balance.Time, s *site) {
	if now.Sub(s.since) < time.Duration(float64(t.set.Hold)*s.drawn) || s.absent > wellAt || s.heard < s.since {
		return
	}
	if s.step++; s.step < len(t.set.Steps) {
		s.since = now
		return
	}
	t.move(now, s, Home)
}

// move changes a site's state. A return that is cut short goes on a step below if it was not gone for long.
func (t *Tiers) move(now balance.Time, s *site, to State) {
	long := now.Sub(s.since) > holdMost*t.set.Hold
	switch {
	case to == Lost:
		s.resume = 0
		if s.state == Returning {
			s.resume = max(s.step-1, 0)
		}
		s.backoff = t.set.Aim
		s.trial, s.epoch = now.Add(s.backoff), s.epoch+1
	case to == Returning:
		if s.step, s.absent = s.resume, 0; long {
			s.step, s.drawn = 0, 1
		}
	}
	if s.state == Home && long { // it has been well for long: what it did before is forgotten
		s.drawn = 1
	}
	s.state, s.since = to, now
}

// Begun counts an attempt and tells whether its site may have to fetch the key: it is a guest's or a returning site's, and
// not known to have been answered there lately.
func (t *Tiers) Begun(now balance.Time, zone string, key uint64, read, guest bool) bool {
	s := t.sites[zone]
	if s == nil {
		return false
	}
	s.open++
	news := read && (guest || s.state == Returning) && !t.knows(s, key)
	if news {
		t.newsOut++
	}
	return news
}

// Ended books an attempt. Any answer, an error as well, proves that the site is there; who was late or full is not lost.
func (t *Tiers) Ended(now balance.Time, e balance.Stay) {
	s := t.sites[e.Zone]
	if s == nil {
		return
	}
	s.open--
	if e.News {
		t.fetched(now, e)
	}
	if e.Connect > 0 {
		t.connected(s, e.Connect)
	}
	answered := true
	switch e.Result {
	case balance.OK, balance.Miss, balance.Errored, balance.Full, balance.Spoilt:
		s.heard = now
		if e.Result == balance.OK && e.News {
			t.learn(s, e.Key)
		}
	case balance.TimedOut, balance.NoConnect, balance.Reset, balance.Unknown:
		answered = false
	case balance.Cancelled:
		if answered = false; e.Took < t.set.Aim/2 { // withdrawn for another's answer
			return
		}
	default: // it never came so far
		return
	}
	// A site that returns has to keep up as well: what it can't do yet is taken back by a step.
	good := answered && (s.state != Returning || e.Result != balance.Full && e.Took < t.set.Aim/2)
	s.absent -= s.absent / memory
	if !good {
		s.absent += 1 / memory
	}
	t.judge(now, s, answered)
}

// judge moves a site along by what is known of it.
func (t *Tiers) judge(now balance.Time, s *site, answered bool) {
	silent := now.Sub(s.heard) > t.set.Aim
	switch s.state {
	case Home:
		if s.absent > failAt {
			t.move(now, s, Failing)
		}
	case Failing:
		switch {
		case s.absent < wellAt:
			t.move(now, s, Home)
		case s.absent > lostAt && silent:
			t.move(now, s, Lost)
		}
	case Lost:
		if answered && s.up > 0 {
			t.move(now, s, Returning)
		} else {
			s.backoff = min(2*s.backoff, trialsMost*t.set.Aim)
			s.trial = now.Add(s.backoff)
		}
	case Returning:
		if s.absent <= failAt {
			return
		}
		s.drawn = min(2*s.drawn, holdMost)
		if s.step == 0 && silent {
			t.move(now, s, Lost)
			return
		}
		s.step, s.since, s.absent = max(s.step-1, 0), now, 0
	}
}

// connected notes a time to connect. Sites change places only where one is clearly nearer.
func (t *Tiers) connected(s *site, took time.Duration) {
	was := s.connect
	if was == 0 {
		s.connect = took
	} else {
		s.connect += (took - was) / 8
	}
	if len(t.set.Prefer) > 0 {
		return
	}
	if was == 0 {
		t.sort()
		return
	}
	for i, o := range t.order[:max(len(t.order)-1, 0)] {
		next := t.order[i+1]
		if o.name != t.set.Home && o.connect > 0 && next.connect > 0 && float64(next.connect) < nearer*float64(o.connect) {
			t.sort()
			return
		}
	}
}

// unknown is a site that is well and whose distance is not known, if the order is to be learned.
func (t *Tiers) unknown() *site {
	if len(t.set.Prefer) > 0 {
		return nil
	}
	for _, s := range t.order[1:] {
		if s.connect == 0 && s.looks < looksMost && s.state == Home {
			return s
		}
	}
	return nil
}

// mayFetch tells whether a site may get a request whose key it may have to fetch: if fewer are out than the origin has
// been seen to carry. Below one they are drawn.
func (t *Tiers) mayFetch(s *site, v balance.Visit) bool {
	if !v.Read || t.knows(s, v.Key) {
		return true
	}
	news := t.news * min(1, 0.5+v.Worth) // what is worth little leaves part of it to the others
	if news >= 1 {
		return float64(t.newsOut+1) <= news
	}
	t.draw++
	return t.newsOut == 0 && float64(t.draw*0x9e3779b97f4a7c15>>11)/(1<<53) < news
}

// fetched learns from a fetch how many may be out: more while they come well within an aim, fewer, once a fetch's time,
// by one that is late or failed while the mean of the last ones is late as well: single ones are late for the work behind
// them. All routers see the same origin, so all step back together.
func (t *Tiers) fetched(now balance.Time, e balance.Stay) {
	t.newsOut--
	took := e.Took
	switch e.Result {
	case balance.OK, balance.Miss:
	case balance.Errored, balance.TimedOut:
		took = max(took, t.set.Aim)
	case balance.Cancelled:
		if took < t.set.Aim/2 {
			return
		}
	default: // it did not fetch
		return
	}
	t.newsTook += (took - t.newsTook) / newsMemory
	switch {
	case took < t.set.Aim/2 && float64(2*t.newsOut+2) < t.news: // they are not used up
	case took < t.set.Aim/2 && t.newsCut == 0: // nothing has shown yet how many are too many
		t.news += 0.25
	case took < t.set.Aim/2:
		t.news += 0.25 / max(t.news, 1)
	case t.newsTook > t.set.Aim/2 && now.Sub(t.newsCut) > t.newsTook:
		t.news, t.newsCut = max(t.news*newsCut, newsFloor), now
	}
}

func (s *site) mark(key uint64) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s.name) {
		h = (h ^ uint64(s.name[i])) * 1099511628211
	}
	return key ^ (h+uint64(s.epoch))*0x9e3779b97f4a7c15
}

// knows tells whether a site has answered for a key lately, as far as is remembered.
func (t *Tiers) knows(s *site, key uint64) bool {
	mark := s.mark(key)
	if _, ok := t.known[0][mark]; ok {
		return true
	}
	_, ok := t.known[1][mark]
	return ok
}

// learn remembers it, in two generations.
func (t *Tiers) learn(s *site, key uint64) {
	if len(t.known[0]) >= knownMost {
		t.known = [2]map[uint64]struct{}{{}, t.known[0]}
	}
	t.known[0][s.mark(key)] = struct{}{}
}

// View tells what is held of each site.
func (t *Tiers) View() (all []balance.SiteView, fetches float64) {
	for _, s := range t.order {
		part := map[State]float64{Home: 1, Failing: failingPart}[s.state]
		if s.state == Returning {
			part = t.set.Steps[s.step]
		}
		all = append(all, balance.SiteView{Zone: s.name, State: s.state.String(), Part: part, Up: s.up, Absent: s.absent, Connect: s.connect})
	}
	return all, t.news
}

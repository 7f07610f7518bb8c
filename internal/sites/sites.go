// Package sites decides which sites serve a router's requests, in what order and up to what limit: the home site while it is
// healthy, otherwise the next site up to a limit (failover), and the home site again in steps (failback). It does no I/O and
// reads no clock.
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

// Config configures the use of sites. The zero value is not usable; WithDefaults sets defaults.
type Config struct {
	Prefer        []string      // sites by preference, the router's own first; empty: Home, then by connect time
	Home          string        // the router's own site if Prefer is empty; if both are empty, the nearest site
	GuestShare    float64       // share of each cache's limit that requests of other sites may use, above 0, at most 1
	Steps         []float64     // shares of its keys that a returning site serves, one after the other; ascending, below 1
	StepDuration  time.Duration // minimum time on a step
	LatencyTarget time.Duration // shortest latency target of any class, the time scale on which sites are evaluated
	RouterShare   float64       // this router's estimated share of all requests, for the initial fetch limit
}

// Defaults for Config. Steps double, so that each step adds as many cold keys as all steps before it together.
var (
	defaultSteps       = []float64{1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2}
	defaultGuestShare  = 0.5
	defaultStepTargets = 4 // StepDuration in latency targets: enough for a fetch and the answers that show its effect
)

// WithDefaults returns c with defaults for fields that are not set.
func (c Config) WithDefaults() Config {
	if c.GuestShare == 0 {
		c.GuestShare = defaultGuestShare
	}
	if len(c.Steps) == 0 {
		c.Steps = defaultSteps
	}
	if c.LatencyTarget <= 0 {
		c.LatencyTarget = time.Second
	}
	if c.StepDuration == 0 {
		c.StepDuration = time.Duration(defaultStepTargets) * c.LatencyTarget
	}
	if !(c.RouterShare > 0) {
		c.RouterShare = 1
	}
	return c
}

// Validate returns an error that names the first invalid key, spelled as in the operators' file.
func (c Config) Validate() error {
	if c.GuestShare < 0 || c.GuestShare > 1 || math.IsNaN(c.GuestShare) {
		return fmt.Errorf("spill: %v is not within 0 and 1", c.GuestShare)
	}
	if c.StepDuration < 0 {
		return fmt.Errorf("hold: %v is under 0", c.StepDuration)
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
	if len(c.Steps) > maxSteps {
		return errors.New("steps: more than 16")
	}
	return nil
}

const (
	maxSteps      = 16
	siteRetention = time.Hour // how long a site without listed caches is remembered
)

// State is a site's health as seen by a router.
type State int

// The states of a site. docs/design/sites.md has the table of transitions.
const (
	Healthy   State = iota // healthy: it serves all its keys
	Failing                // half of the attempts there get no answer: it keeps failingShare of its keys
	Lost                   // no answer for a latency target, or none of its caches is listed: it gets single trial requests
	Returning              // a trial was answered: it serves a growing share of its keys
)

func (s State) String() string { return [...]string{"home", "failing", "lost", "returning"}[s] }

const (
	failRateWindow         = 12.0     // attempts over which a site's failRate is averaged
	failingThreshold       = 0.5      // failRate above which a site is failing
	lostThreshold          = 0.8      // failRate above which a site without an answer for a latency target is lost
	healthyThreshold       = 0.2      // failRate below which a site recovers or advances a step; far below failingThreshold to avoid flapping
	failingShare           = 0.25     // share of its keys that a failing site keeps: enough to observe its health
	maxTrialBackoffTargets = 4        // maximum time between trials, in latency targets
	maxHoldFactor          = 8        // maximum factor by which relapses prolong a step
	measureEvery           = 256      // one in so many safe requests goes to a site whose connect time is not known yet
	maxMeasurements        = 8        // such requests per site: where connect times are not reported, more of them yield nothing
	nearerRatio            = 0.8      // a site moves ahead of another if its connect time is below this fraction of the other's
	initialFetchLimit      = 24.0     // concurrent fetches that all routers together start with
	fetchTimeWindow        = 8        // fetches over which fetchTime is averaged
	fetchLimitDecrease     = 0.85     // factor applied to the fetch limit after a late or failed fetch
	minFetchLimit          = 1.0 / 16 // minimum fetch limit; below 1 fetches are admitted at random, so that recovery is still noticed
	maxKnownKeys           = 1 << 15  // keys in each of the two generations of knownKeys
)

// site is the state of one site.
type site struct {
	name         string
	upCaches     int // caches listed as up
	state        State
	step         int          // index into Config.Steps while returning
	resumeStep   int          // step at which its next return starts
	stateSince   balance.Time // when state or step last changed
	failRate     float64      // smoothed share of attempts that got no answer
	lastAnswer   balance.Time // time of the last answer of any kind
	inFlight     int          // attempts in flight
	holdFactor   float64      // factor by which a step is prolonged after relapses, from 1
	nextTrial    balance.Time // earliest time of the next trial
	backoff      time.Duration
	connectTime  time.Duration // smoothed; 0: not known
	measurements int
	epoch        uint32 // part of knownKeys entries; incremented at a loss, which invalidates them
}

// Tiers implements balance.Tiers for one router. It belongs to one balance.Balancer and is not safe for concurrent use.
type Tiers struct {
	config       Config
	sites        map[string]*site
	order        []*site // by preference
	tiers        []balance.Tier
	safeRequests int // safe requests so far, for measureEvery

	fetchLimit      float64 // maximum concurrent fetches
	fetchesInFlight int
	fetchTime       time.Duration // smoothed
	lastDecrease    balance.Time
	draws           uint64
	knownKeys       [2]map[uint64]struct{}
}

// New returns the tiers of one router. The configuration must have passed Validate.
func New(c Config) *Tiers {
	c = c.WithDefaults()
	return &Tiers{config: c, sites: map[string]*site{},
		fetchLimit: max(initialFetchLimit*c.RouterShare, minFetchLimit), fetchTime: c.LatencyTarget / 8,
		knownKeys: [2]map[uint64]struct{}{{}, {}}}
}

var _ balance.Tiers = (*Tiers)(nil)

// SetUp sets the number of caches that the discovery list shows as up, by site. A site with none is lost at once; a site
// that is listed again gets a trial at once, whatever start times the list has for its caches.
func (t *Tiers) SetUp(now balance.Time, up map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(up)) {
		if t.sites[name] == nil {
			t.sites[name] = &site{name: name, holdFactor: 1, stateSince: now, lastAnswer: now}
		}
	}
	for name, s := range t.sites {
		previouslyUp := s.upCaches
		switch s.upCaches = up[name]; {
		case s.upCaches == 0 && s.state != Lost:
			t.setState(now, s, Lost)
		case s.upCaches > 0 && previouslyUp == 0:
			s.nextTrial = now
		case s.upCaches == 0 && s.inFlight == 0 && now.Sub(s.stateSince) > siteRetention:
			delete(t.sites, name)
		}
	}
	t.sortSites()
}

// sortSites orders the sites: by Prefer, or else the home site first and then by connect time. Sites without a rank come last,
// by name.
func (t *Tiers) sortSites() {
	rank := func(s *site) (int, time.Duration) {
		if i := slices.Index(t.config.Prefer, s.name); i >= 0 {
			return i, 0
		}
		switch {
		case len(t.config.Prefer) == 0 && s.name == t.config.Home:
			return -1, 0
		case s.connectTime == 0:
			return math.MaxInt, 0
		}
		return math.MaxInt - 1, s.connectTime
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

// Order returns the sites that may serve a request, in order of preference. The home site comes first if it currently owns the
// key, then each other site that owns it, with a guest's limit. A lost site that is due for a trial comes before all others.
// While no site is healthy, sites that are not lost keep all keys; if all are lost, every site with listed caches is used.
func (t *Tiers) Order(now balance.Time, v balance.RequestInfo) []balance.Tier {
	t.tiers = t.tiers[:0]
	if len(t.order) == 0 {
		return append(t.tiers, balance.Tier{LimitShare: 1}) // no cache is listed: the balancer chooses from all caches and finds none
	}
	if v.Safe {
		t.safeRequests++
		if s := t.unmeasuredSite(); s != nil && t.safeRequests%measureEvery == 0 {
			s.measurements++
			t.addGuestTier(s, v)
		}
	}
	home, healthySites := t.order[0], 0
	for _, s := range t.order {
		if s.state == Healthy {
			healthySites++
		}
		if s != home && s.state == Lost && !v.Retry && t.ownsKey(now, s, v, 1) { // a trial, without which its return would go unnoticed
			t.addGuestTier(s, v)
		}
	}
	// A retry must not wait for a home site that is failing to answer, nor use up a trial.
	ownedAtHome := !(v.Retry && home.failRate > healthyThreshold) && t.ownsKey(now, home, v, healthySites)
	homeMayFetch := home.state != Returning || t.mayFetch(home, v)
	if ownedAtHome && homeMayFetch {
		t.tiers = append(t.tiers, balance.Tier{Zone: home.name, LimitShare: 1})
	}
	for _, s := range t.order[1:] {
		if s.state != Lost && t.ownsKey(now, s, v, healthySites) {
			t.addGuestTier(s, v)
		}
	}
	if !ownedAtHome && homeMayFetch && home.state != Lost { // last resort, instead of rejecting what no other site has capacity for
		t.tiers = append(t.tiers, balance.Tier{Zone: home.name, LimitShare: 1})
	}
	if len(t.tiers) == 0 { // all sites are lost: use every listed one, and leave the choice to the rules for single caches
		for _, s := range t.order {
			if s.upCaches > 0 {
				t.tiers = append(t.tiers, balance.Tier{Zone: s.name, LimitShare: 1})
			}
		}
	}
	return t.tiers
}

// addGuestTier adds a site that is not the request's home, with a share of its limit, or 0 if the fetch limit is reached.
func (t *Tiers) addGuestTier(s *site, v balance.RequestInfo) {
	share := t.config.GuestShare
	if share >= 1 {
		share = math.Nextafter(1, 0) // a share of 1 means a home request
	}
	if !t.mayFetch(s, v) {
		share = 0
	}
	t.tiers = append(t.tiers, balance.Tier{Zone: s.name, LimitShare: share})
}

// ownsKey reports whether a site currently serves a request's key. The set of keys is the same at every router, and keys that
// have returned to a site stay there as its share grows.
func (t *Tiers) ownsKey(now balance.Time, s *site, v balance.RequestInfo, healthySites int) bool {
	if s.state == Healthy || healthySites == 0 && s.state != Lost { // without a healthy site, those that are not lost keep all keys
		return true
	}
	share := failingShare
	switch s.state {
	case Lost:
		if s.upCaches == 0 || !v.Safe || now < s.nextTrial {
			return false
		}
		s.nextTrial = now.Add(s.backoff) // a single trial per backoff
		return true
	case Returning:
		t.advanceStep(now, s)
		if s.state == Healthy {
			return true
		}
		share = t.config.Steps[s.step]
	}
	return float64(uint16(v.Key)) < share*(1<<16)
}

// advanceStep moves a returning site to its next step after it has been healthy on the current one for the step duration.
func (t *Tiers) advanceStep(now balance.Time, s *site) {
	if now.Sub(s.stateSince) < time.Duration(float64(t.config.StepDuration)*s.holdFactor) || s.failRate > healthyThreshold ||
		s.lastAnswer < s.stateSince {
		return
	}
	if s.step++; s.step < len(t.config.Steps) {
		s.stateSince = now
		return
	}
	t.setState(now, s, Healthy)
}

// setState changes a site's state. A site that is lost while returning resumes one step lower, unless it was lost for long.
func (t *Tiers) setState(now balance.Time, s *site, to State) {
	settled := now.Sub(s.stateSince) > maxHoldFactor*t.config.StepDuration
	switch {
	case to == Lost:
		s.resumeStep = 0
		if s.state == Returning {
			s.resumeStep = max(s.step-1, 0)
		}
		s.backoff = t.config.LatencyTarget
		s.nextTrial, s.epoch = now.Add(s.backoff), s.epoch+1
	case to == Returning:
		if s.step, s.failRate = s.resumeStep, 0; settled {
			s.step, s.holdFactor = 0, 1
		}
	}
	if s.state == Healthy && settled { // healthy for long: earlier relapses no longer count
		s.holdFactor = 1
	}
	s.state, s.stateSince = to, now
}

// AttemptBegun counts an attempt that starts and reports whether its site may have to fetch the key from the origin: the request is a
// guest or the site is returning, and the site is not known to have answered for the key recently.
func (t *Tiers) AttemptBegun(now balance.Time, zone string, key uint64, read, guest bool) bool {
	s := t.sites[zone]
	if s == nil {
		return false
	}
	s.inFlight++
	fetches := read && (guest || s.state == Returning) && !t.knows(s, key)
	if fetches {
		t.fetchesInFlight++
	}
	return fetches
}

// AttemptEnded records the result of an attempt. Any answer, even an error, shows that the site is reachable: a slow or overloaded site
// is not lost.
func (t *Tiers) AttemptEnded(now balance.Time, e balance.AttemptResult) {
	s := t.sites[e.Zone]
	if s == nil {
		return
	}
	s.inFlight--
	if e.MayFetch {
		t.adjustFetchLimit(now, e)
	}
	if e.Connect > 0 {
		t.recordConnectTime(s, e.Connect)
	}
	answered := true
	switch e.Result {
	case balance.OK, balance.Miss, balance.Errored, balance.Rejected, balance.Malformed:
		s.lastAnswer = now
		if e.Result == balance.OK && e.MayFetch {
			t.remember(s, e.Key)
		}
	case balance.TimedOut, balance.NoConnect, balance.Reset, balance.Unknown:
		answered = false
	case balance.Cancelled:
		if answered = false; e.Took < t.config.LatencyTarget/2 { // cancelled early because another attempt was answered
			return
		}
	default: // the request was not sent
		return
	}
	// A returning site must also keep up with its load: if it rejects requests or is slow, it goes back a step.
	good := answered && (s.state != Returning || e.Result != balance.Rejected && e.Took < t.config.LatencyTarget/2)
	s.failRate -= s.failRate / failRateWindow
	if !good {
		s.failRate += 1 / failRateWindow
	}
	t.updateState(now, s, answered)
}

// updateState applies the state transitions after an attempt.
func (t *Tiers) updateState(now balance.Time, s *site, answered bool) {
	noAnswers := now.Sub(s.lastAnswer) > t.config.LatencyTarget
	switch s.state {
	case Healthy:
		if s.failRate > failingThreshold {
			t.setState(now, s, Failing)
		}
	case Failing:
		switch {
		case s.failRate < healthyThreshold:
			t.setState(now, s, Healthy)
		case s.failRate > lostThreshold && noAnswers:
			t.setState(now, s, Lost)
		}
	case Lost:
		if answered && s.upCaches > 0 {
			t.setState(now, s, Returning)
		} else {
			s.backoff = min(2*s.backoff, maxTrialBackoffTargets*t.config.LatencyTarget)
			s.nextTrial = now.Add(s.backoff)
		}
	case Returning:
		if s.failRate <= failingThreshold {
			return
		}
		s.holdFactor = min(2*s.holdFactor, maxHoldFactor)
		if s.step == 0 && noAnswers {
			t.setState(now, s, Lost)
			return
		}
		s.step, s.stateSince, s.failRate = max(s.step-1, 0), now, 0
	}
}

// recordConnectTime updates a site's smoothed connect time. Sites are reordered only if one is clearly nearer than the one
// before it.
func (t *Tiers) recordConnectTime(s *site, took time.Duration) {
	previous := s.connectTime
	if previous == 0 {
		s.connectTime = took
	} else {
		s.connectTime += (took - previous) / 8
	}
	if len(t.config.Prefer) > 0 {
		return
	}
	if previous == 0 {
		t.sortSites()
		return
	}
	for i, o := range t.order[:max(len(t.order)-1, 0)] {
		next := t.order[i+1]
		if o.name != t.config.Home && o.connectTime > 0 && next.connectTime > 0 &&
			float64(next.connectTime) < nearerRatio*float64(o.connectTime) {
			t.sortSites()
			return
		}
	}
}

// unmeasuredSite returns a healthy site whose connect time is not known; nil if there is none or the order is configured.
func (t *Tiers) unmeasuredSite() *site {
	if len(t.config.Prefer) > 0 {
		return nil
	}
	for _, s := range t.order[1:] {
		if s.connectTime == 0 && s.measurements < maxMeasurements && s.state == Healthy {
			return s
		}
	}
	return nil
}

// mayFetch reports whether a site may get a request whose key it may have to fetch from the origin: if fewer fetches than the
// fetch limit are in flight. With a limit below one, a fetch is admitted at random with that probability if none
// is in flight.
func (t *Tiers) mayFetch(s *site, v balance.RequestInfo) bool {
	if !v.Read || t.knows(s, v.Key) {
		return true
	}
	limit := t.fetchLimit * min(1, 0.5+v.RelativePriority) // requests of low priority leave part of the limit to others
	if limit >= 1 {
		return float64(t.fetchesInFlight+1) <= limit
	}
	t.draws++
	return t.fetchesInFlight == 0 && float64(t.draws*0x9e3779b97f4a7c15>>11)/(1<<53) < limit
}

// adjustFetchLimit adapts the fetch limit to the result of a fetch (additive increase, multiplicative decrease). The limit rises
// while fetches take less than half a latency target and use up half of it. It falls, at most once per mean fetch time, after
// a late or failed fetch if the mean of the last ones is late as well: a single fetch may be late because of work queued behind
// it. All routers see the same origin, so all reduce their limits together.
func (t *Tiers) adjustFetchLimit(now balance.Time, e balance.AttemptResult) {
	t.fetchesInFlight--
	took := e.Took
	switch e.Result {
	case balance.OK, balance.Miss:
	case balance.Errored, balance.TimedOut:
		took = max(took, t.config.LatencyTarget)
	case balance.Cancelled:
		if took < t.config.LatencyTarget/2 {
			return
		}
	default: // it caused no fetch
		return
	}
	t.fetchTime += (took - t.fetchTime) / fetchTimeWindow
	switch {
	case took < t.config.LatencyTarget/2 && float64(2*t.fetchesInFlight+2) < t.fetchLimit: // the limit is not used up
	case took < t.config.LatencyTarget/2 && t.lastDecrease == 0: // no decrease yet: rise fast until the first one
		t.fetchLimit += 0.25
	case took < t.config.LatencyTarget/2:
		t.fetchLimit += 0.25 / max(t.fetchLimit, 1)
	case t.fetchTime > t.config.LatencyTarget/2 && now.Sub(t.lastDecrease) > t.fetchTime:
		t.fetchLimit, t.lastDecrease = max(t.fetchLimit*fetchLimitDecrease, minFetchLimit), now
	}
}

// knownKey returns the entry of knownKeys for a key at this site in its current epoch.
func (s *site) knownKey(key uint64) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(s.name) {
		hash = (hash ^ uint64(s.name[i])) * 1099511628211
	}
	return key ^ (hash+uint64(s.epoch))*0x9e3779b97f4a7c15
}

// knows reports whether a site is remembered to have answered for a key recently.
func (t *Tiers) knows(s *site, key uint64) bool {
	entry := s.knownKey(key)
	if _, ok := t.knownKeys[0][entry]; ok {
		return true
	}
	_, ok := t.knownKeys[1][entry]
	return ok
}

// remember records that a site has answered for a key. When the newer generation is full it replaces the older one.
func (t *Tiers) remember(s *site, key uint64) {
	if len(t.knownKeys[0]) >= maxKnownKeys {
		t.knownKeys = [2]map[uint64]struct{}{{}, t.knownKeys[0]}
	}
	t.knownKeys[0][s.knownKey(key)] = struct{}{}
}

// View returns the state of each site, in order of preference, and the fetch limit.
func (t *Tiers) View() (all []balance.SiteView, limit float64) {
	for _, s := range t.order {
		share := map[State]float64{Healthy: 1, Failing: failingShare}[s.state]
		if s.state == Returning {
			share = t.config.Steps[s.step]
		}
		all = append(all, balance.SiteView{Zone: s.name, State: s.state.String(), KeyShare: share,
			Up: s.upCaches, FailShare: s.failRate, Connect: s.connectTime})
	}
	return all, t.fetchLimit
}

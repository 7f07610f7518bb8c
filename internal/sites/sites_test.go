package sites

import (
	"fmt"
	"testing"
	"time"

	"cedarmast/balance"
)

const latencyTarget = time.Second

// testTiers is one router's tiers with a simulated clock.
type testTiers struct {
	*Tiers
	t   *testing.T
	now balance.Time
	key uint64
}

func newTestTiers(t *testing.T, c Config) *testTiers {
	c.LatencyTarget = latencyTarget
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	r := &testTiers{Tiers: New(c), t: t, now: 1e15}
	r.setUpCaches(3, 3, 3)
	return r
}

func (r *testTiers) setUpCaches(north, south, west int) {
	up := map[string]int{}
	for zone, n := range map[string]int{"north": north, "south": south, "west": west} {
		if n > 0 {
			up[zone] = n
		}
	}
	r.SetUp(r.now, up)
}

// request makes n requests with evenly spread keys, each to the first site that Order offers, and returns their number by site.
func (r *testTiers) request(n int, every time.Duration, answer func(zone string) (balance.Result, time.Duration)) map[string]int {
	counts := map[string]int{}
	for range n {
		r.now = r.now.Add(every)
		r.key++
		v := balance.RequestInfo{Key: r.key * 0x9e3779b97f4a7c15 >> 7, Read: true, Safe: true, RelativePriority: 1}
		zone := "none"
		for _, tier := range r.Order(r.now, v) {
			if tier.LimitShare > 0 {
				zone = tier.Zone
				mayFetch := r.AttemptBegun(r.now, zone, v.Key, true, tier.LimitShare < 1)
				result, took := answer(zone)
				r.AttemptEnded(r.now, balance.AttemptResult{Zone: zone, Key: v.Key, Took: took, Result: result, MayFetch: mayFetch,
					Connect: connectTimes[zone]})
				break
			}
		}
		counts[zone]++
	}
	return counts
}

var connectTimes = map[string]time.Duration{"north": 30 * time.Millisecond, "south": time.Millisecond, "west": 10 * time.Millisecond}

func healthyAnswer(string) (balance.Result, time.Duration) { return balance.OK, latencyTarget / 10 }

func unreachable(lost ...string) func(string) (balance.Result, time.Duration) {
	return func(zone string) (balance.Result, time.Duration) {
		for _, name := range lost {
			if zone == name {
				return balance.TimedOut, latencyTarget / 2
			}
		}
		return healthyAnswer(zone)
	}
}

func (r *testTiers) wantState(zone string, s State) {
	r.t.Helper()
	if got := r.sites[zone].state; got != s {
		r.t.Errorf("%s is %v, want %v", zone, got, s)
	}
}

// The order of sites decides where load overflows to. It is as configured, or else the home site first and then by connect time, which
// a few of the requests measure. It does not change for a small difference.
func TestOrder(t *testing.T) {
	for want, c := range map[string]Config{"[west south north]": {Prefer: []string{"west", "south"}},
		"[north south west]": {Home: "north"}, "[south west north]": {}} {
		r := newTestTiers(t, c)
		r.request(4*measureEvery, time.Millisecond, healthyAnswer)
		var got []string
		for _, s := range r.order {
			got = append(got, s.name)
		}
		if fmt.Sprint(got) != want {
			t.Errorf("%+v: %v, want %s", c, got, want)
		}
		for range 50 {
			r.recordConnectTime(r.sites["west"], 9*time.Millisecond)
			r.recordConnectTime(r.sites["south"], 9100*time.Microsecond)
		}
		if fmt.Sprint(r.order[0].name) != got[0] {
			t.Errorf("%s moved to the front for a tenth less connect time", r.order[0].name)
		}
	}
}

// A site that does not answer is lost within two latency targets, gets only single trials, and returns in steps that are each held for
// StepDuration.
func TestLostAndBack(t *testing.T) {
	r := newTestTiers(t, Config{Home: "south"})
	r.request(100, latencyTarget/50, healthyAnswer)
	r.request(100, latencyTarget/50, unreachable("south"))
	r.wantState("south", Lost)
	if to := r.request(1000, latencyTarget/50, unreachable("south")); to["south"] > 8 {
		t.Errorf("%d requests in 20 latency targets went to a lost site", to["south"])
	}
	last, begun := 0, balance.Time(0)
	for r.sites["south"].state != Healthy {
		to := r.request(100, latencyTarget/50, healthyAnswer)["south"]
		if r.sites["south"].state == Returning && begun == 0 {
			begun = r.now
		}
		if to < last-15 {
			t.Errorf("%d of 100 requests at the home site, %d before", to, last)
		}
		if last = to; r.now.Sub(begun) > 60*latencyTarget && begun != 0 {
			t.Fatal("the site did not become healthy again")
		}
	}
	if took := r.now.Sub(begun); took < time.Duration(defaultStepTargets*len(defaultSteps)-2)*latencyTarget {
		t.Errorf("the site was healthy again after only %v", took)
	}
}

// Regression: a return that failed on its third step went back to the first one, and a flapping site was repeatedly made healthy again.
func TestReturnThatFails(t *testing.T) {
	r := newTestTiers(t, Config{Home: "south"})
	r.request(150, latencyTarget/50, unreachable("south"))
	for r.sites["south"].step < 2 {
		r.request(10, latencyTarget/50, healthyAnswer)
	}
	for r.sites["south"].step == 2 { // it answers but rejects requests
		r.request(1, latencyTarget/50, func(zone string) (balance.Result, time.Duration) {
			if zone == "south" {
				return balance.Rejected, 0
			}
			return healthyAnswer(zone)
		})
	}
	if s := r.sites["south"]; s.state != Returning || s.step != 1 || s.holdFactor != 2 {
		t.Errorf("%v at step %d, hold factor %v", s.state, s.step, s.holdFactor)
	}
	changes, state := 0, r.sites["south"].state
	for n := range 40 { // unreachable for three latency targets, then reachable for three
		answer := healthyAnswer
		if n%2 == 0 {
			answer = unreachable("south")
		}
		r.request(150, latencyTarget/50, answer)
		if s := r.sites["south"].state; s != state {
			changes, state = changes+1, s
		}
	}
	if home := r.sites["south"].state == Healthy; home || changes > 40 || r.sites["south"].holdFactor != maxHoldFactor {
		t.Errorf("healthy %v after flapping, %d state changes, hold factor %v", home, changes, r.sites["south"].holdFactor)
	}
}

// A site that is only slow, full, or returns errors is reachable. If it counted as lost, its load would move to the other sites.
func TestSlowIsNotLost(t *testing.T) {
	for _, result := range []balance.Result{balance.OK, balance.Rejected, balance.Errored, balance.Malformed} {
		r := newTestTiers(t, Config{Home: "south"})
		r.request(200, latencyTarget/50, func(string) (balance.Result, time.Duration) { return result, 2 * latencyTarget })
		r.wantState("south", Healthy)
	}
}

// A site without listed caches is lost at once, and one that is listed again is tried at once. A site that does not answer is lost
// whatever the list says (TestLostAndBack). With all sites lost every listed one is used, or none would ever return.
func TestDiscoveryListAndAllSitesLost(t *testing.T) {
	r := newTestTiers(t, Config{Home: "south"})
	r.setUpCaches(3, 0, 3)
	if to := r.request(50, latencyTarget/50, healthyAnswer); to["south"] > 0 {
		t.Errorf("requests %v while no cache is listed at south", to)
	}
	r.setUpCaches(3, 3, 3)
	r.request(2, latencyTarget/50, healthyAnswer)
	r.wantState("south", Returning)
	r.request(600, latencyTarget/50, unreachable("north", "south", "west"))
	if to := r.request(100, latencyTarget/50, unreachable("north", "south", "west")); to["none"] > 0 {
		t.Errorf("requests %v while all sites are lost", to)
	}
	r.request(3000, latencyTarget/50, healthyAnswer)
	for _, zone := range []string{"north", "south", "west"} {
		if r.sites[zone].state == Lost {
			t.Errorf("%s is still lost", zone)
		}
	}
}

// Keys that a site has to fetch, for guests and while it returns cold, share one fetch limit, which late fetches lower whoever else
// loads the origin. Keys that the site has answered for are not limited.
func TestFetchesAreBounded(t *testing.T) {
	r := newTestTiers(t, Config{Home: "south", RouterShare: 0.1})
	r.request(150, latencyTarget/50, unreachable("south"))
	before := r.fetchLimit
	var fetching []uint64
	for key := range uint64(200) { // none of the fetches ends
		v := balance.RequestInfo{Key: 1<<40 + key<<20, Read: true, RelativePriority: 1}
		if all := r.Order(r.now, v); len(all) > 0 && all[0].LimitShare > 0 {
			if r.AttemptBegun(r.now, all[0].Zone, v.Key, true, true) {
				fetching = append(fetching, v.Key)
			}
		}
	}
	if len(fetching) == 0 || float64(len(fetching)) > before {
		t.Errorf("%d fetches in flight, limit %.1f", len(fetching), before)
	}
	for range 20 {
		for _, key := range fetching {
			r.now = r.now.Add(latencyTarget)
			r.AttemptEnded(r.now, balance.AttemptResult{Zone: "north", Key: key, Took: latencyTarget, Result: balance.Errored, MayFetch: true})
			r.AttemptBegun(r.now, "north", key, true, true)
		}
	}
	if r.fetchLimit > before/2 {
		t.Errorf("fetch limit %.1f after failed fetches, %.1f before", r.fetchLimit, before)
	}
	r.remember(r.sites["north"], 77)
	if all := r.Order(r.now, balance.RequestInfo{Key: 77, Read: true}); all[0].LimitShare == 0 {
		t.Error("a known key is rejected")
	}
	if len(r.knownKeys[0])+len(r.knownKeys[1]) > 2*maxKnownKeys {
		t.Error("the number of known keys is not bounded")
	}
}

// firstTier returns the first site that Order offers for a request, with its share.
func (r *testTiers) firstTier(v balance.RequestInfo) string {
	tiers := r.Order(r.now, v)
	return fmt.Sprintf("%s %.1f", tiers[0].Zone, tiers[0].LimitShare)
}

// Regression: a request that must not be repeated was used as a trial of a lost site, a retry waited a second time for a site that did
// not answer, and a request that no other site had capacity for was rejected although its returning home site had.
func TestTierOrderByState(t *testing.T) {
	r := newTestTiers(t, Config{Home: "south"})
	r.request(8, latencyTarget/50, unreachable("south"))
	r.wantState("south", Failing)
	v := balance.RequestInfo{Key: 1, Read: true, RelativePriority: 1}
	if got := r.firstTier(v); got != "south 1.0" {
		t.Errorf("a key in the quarter that a failing site keeps goes to %s", got)
	}
	v.Retry = true
	if got := r.firstTier(v); got != "north 0.5" {
		t.Errorf("a retry after no answer at home goes to %s", got)
	}
	v.Key = 0xffff
	if all := r.Order(r.now, v); all[len(all)-1].Zone != "south" {
		t.Errorf("the home site is not the last resort: %v", all)
	}
	r.request(100, latencyTarget/50, unreachable("south"))
	r.wantState("south", Lost)
	r.now = r.now.Add(5 * latencyTarget)
	if got := r.firstTier(balance.RequestInfo{Key: 5, Read: true, RelativePriority: 1}); got != "north 0.5" {
		t.Errorf("an unsafe request goes to %s, which is lost", got)
	}
	if got := r.firstTier(balance.RequestInfo{Key: 5, Read: true, Safe: true, RelativePriority: 1}); got != "south 1.0" {
		t.Errorf("the trial goes to %s", got)
	}
	r.setUpCaches(3, 0, 3)
	r.setUpCaches(3, 3, 3)
	if got := r.firstTier(balance.RequestInfo{Key: 5, Safe: true, RelativePriority: 1}); got != "south 1.0" {
		t.Errorf("a site that is listed again is not tried at once: %s", got)
	}
	for _, s := range r.sites { // while no site is healthy, those that are reachable keep all keys
		s.state = Failing
	}
	if got := r.firstTier(balance.RequestInfo{Key: 0xffff, RelativePriority: 1}); got != "south 1.0" {
		t.Errorf("with all sites failing a key goes to %s", got)
	}
}

// Regression: a key that had returned home left again as the share grew; a return that was cut short restarted at the first step; keys
// that a site had before it was lost were not counted as fetches; fetches of low priority used up the limit.
func TestReturningSiteKeepsKeysAndStep(t *testing.T) {
	r := newTestTiers(t, Config{Home: "south"})
	r.request(150, latencyTarget/50, unreachable("south"))
	south := r.sites["south"]
	for south.step < 2 {
		r.request(10, latencyTarget/50, healthyAnswer)
	}
	for key := range uint64(1 << 16) {
		v := balance.RequestInfo{Key: key, RelativePriority: 1}
		if owned := r.ownsKey(r.now, south, v, 1); owned != (key < 1<<14) {
			t.Fatalf("key %x is owned: %v, with a share of a quarter", key, owned)
		}
	}
	r.remember(south, 9)
	r.setUpCaches(3, 0, 3)
	if r.knows(south, 9) {
		t.Error("keys that were known before a site was lost still count as known")
	}
	r.setUpCaches(3, 3, 3)
	r.request(1, latencyTarget/50, healthyAnswer)
	if south.state != Returning || south.step != 1 {
		t.Errorf("%v at step %d after a loss on step 2", south.state, south.step)
	}
	r.now = r.now.Add(100 * latencyTarget) // no requests, which does not show that the site is healthy
	r.advanceStep(r.now, south)
	r.advanceStep(r.now, south)
	if south.step > 2 {
		t.Errorf("step %d without an answer", south.step)
	}
	r.fetchesInFlight, r.fetchLimit = 0, 2
	r.AttemptBegun(r.now, "north", 100, true, true)
	high, owned := balance.RequestInfo{Key: 101, Read: true, RelativePriority: 1},
		balance.RequestInfo{Key: 102, Read: true, RelativePriority: 0.1}
	if north := r.sites["north"]; !r.mayFetch(north, high) || r.mayFetch(north, owned) {
		t.Error("a fetch of low priority is admitted, or one of high priority is not")
	}
	r.remember(r.sites["north"], 100)
	if r.AttemptBegun(r.now, "north", 100, true, true) {
		t.Error("a known key counts as a fetch")
	}
	for key := range uint64(3 * maxKnownKeys) {
		r.remember(south, key)
	}
	if n := len(r.knownKeys[0]) + len(r.knownKeys[1]); n > 2*maxKnownKeys {
		t.Errorf("%d keys are remembered", n)
	}
	before := r.fetchLimit
	for range 3 { // single late fetches among fast ones
		r.fetchTime = latencyTarget / 10
		r.fetchesInFlight++
		r.adjustFetchLimit(r.now.Add(9*latencyTarget), balance.AttemptResult{Took: latencyTarget, Result: balance.OK, MayFetch: true})
	}
	if r.fetchLimit < before {
		t.Error("a single late fetch lowers the limit")
	}
}

// Regression: the list moved a server to another zone while an attempt was in flight. The end of the attempt was counted for the new zone,
// whose count became negative, and the old one kept counting it and was never removed.
func TestServerChangesZone(t *testing.T) {
	tiers := New(Config{})
	b := balance.New(balance.Settings{Tiers: func() balance.Tiers { return tiers },
		Classes: []balance.Class{{Name: "read", Target: latencyTarget, Priority: 1}}}, 1)
	list := func(zone string) balance.List {
		return balance.List{Kind: balance.Complete, Entries: []balance.Entry{{Server: "a", Zone: zone, Weight: 1}}}
	}
	b.Handle(1e15, []balance.Event{list("old"), balance.Request{ID: "r", Class: "read", Key: 1, HasKey: true, Due: 2e15}})
	if tiers.sites["old"].inFlight != 1 {
		t.Fatal("no attempt was made")
	}
	b.Handle(1e15+1, []balance.Event{list("new"), balance.Outcome{ID: "r", Server: "a", Result: balance.OK, Done: true}})
	if o, n := tiers.sites["old"].inFlight, tiers.sites["new"].inFlight; o != 0 || n != 0 {
		t.Errorf("%d attempts in flight in the old zone, %d in the new", o, n)
	}
}

// BenchmarkRequest measures one request and its answer, with all decisions, for fleets at three sites.
func BenchmarkRequest(b *testing.B) {
	for _, caches := range []int{30, 300, 3000} {
		for _, mode := range []string{"off", "home", "lost"} {
			b.Run(fmt.Sprint(caches, "/", mode), func(b *testing.B) {
				set := balance.Settings{Routers: 3, Zone: "z0", MaxAttempts: 3,
					Classes: []balance.Class{{Name: "read", Target: latencyTarget, Priority: 1, Effect: balance.Safe}}}
				if mode != "off" {
					set.Tiers = func() balance.Tiers { return New(Config{Home: "z0"}) }
				}
				r, l := balance.New(set, 1), balance.List{Kind: balance.Complete}
				for i := range caches {
					if zone := fmt.Sprint("z", i%3); mode != "lost" || zone != "z0" {
						l.Entries = append(l.Entries, balance.Entry{Server: balance.ServerID(fmt.Sprint("c", i)), Zone: zone, Weight: 1})
					}
				}
				now := balance.Time(1e15)
				r.Handle(now, []balance.Event{l})
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Millisecond)
					id := balance.RequestID(fmt.Sprint(i))
					for _, a := range r.Handle(now, []balance.Event{balance.Request{ID: id, Class: "read", Key: uint64(i % 5000), HasKey: true,
						Due: now.Add(latencyTarget)}}) {
						if s, ok := a.(balance.Send); ok {
							r.Handle(now.Add(time.Microsecond), []balance.Event{balance.Outcome{ID: id, Server: s.Server, Result: balance.OK, Done: true}})
						}
					}
				}
			})
		}
	}
}

package sites

import (
	"fmt"
	"testing"
	"time"

	"cedarmast/balance"
)

const aim = time.Second

// rig is one router's tiers with a clock.
type rig struct {
	*Tiers
	t   *testing.T
	now balance.Time
	key uint64
}

func newRig(t *testing.T, c Config) *rig {
	c.Aim = aim
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	r := &rig{Tiers: New(c), t: t, now: 1e15}
	r.list(3, 3, 3)
	return r
}

func (r *rig) list(north, south, west int) {
	up := map[string]int{}
	for zone, n := range map[string]int{"north": north, "south": south, "west": west} {
		if n > 0 {
			up[zone] = n
		}
	}
	r.Listed(r.now, up)
}

// ask takes the first site that an even spread of keys is offered, and ends the attempt there.
func (r *rig) ask(n int, every time.Duration, answer func(zone string) (balance.Result, time.Duration)) map[string]int {
	to := map[string]int{}
	for range n {
		r.now = r.now.Add(every)
		r.key++
		v := balance.Visit{Key: r.key * 0x9e3779b97f4a7c15 >> 7, Read: true, Safe: true, Worth: 1}
		zone := "none"
		for _, tier := range r.Order(r.now, v) {
			if tier.Part > 0 {
				zone = tier.Zone
				news := r.Begun(r.now, zone, v.Key, true, tier.Part < 1)
				result, took := answer(zone)
				r.Ended(r.now, balance.Stay{Zone: zone, Key: v.Key, Took: took, Result: result, News: news, Connect: connects[zone]})
				break
			}
		}
		to[zone]++
	}
	return to
}

var connects = map[string]time.Duration{"north": 30 * time.Millisecond, "south": time.Millisecond, "west": 10 * time.Millisecond}

func well(string) (balance.Result, time.Duration) { return balance.OK, aim / 10 }

func without(lost ...string) func(string) (balance.Result, time.Duration) {
	return func(zone string) (balance.Result, time.Duration) {
		for _, name := range lost {
			if zone == name {
				return balance.TimedOut, aim / 2
			}
		}
		return well(zone)
	}
}

func (r *rig) want(zone string, s State) {
	r.t.Helper()
	if got := r.sites[zone].state; got != s {
		r.t.Errorf("%s is %v, not %v", zone, got, s)
	}
}

// Guard: the order of sites decides who floods whom. It is as stated; else home, then by the time to connect, which a few of
// the requests are spent on learning, and does not change for a little.
func TestOrder(t *testing.T) {
	for want, c := range map[string]Config{"[west south north]": {Prefer: []string{"west", "south"}},
		"[north south west]": {Home: "north"}, "[south west north]": {}} {
		r := newRig(t, c)
		r.ask(4*lookEvery, time.Millisecond, well)
		var got []string
		for _, s := range r.order {
			got = append(got, s.name)
		}
		if fmt.Sprint(got) != want {
			t.Errorf("%+v: %v, not %s", c, got, want)
		}
		for range 50 {
			r.connected(r.sites["west"], 9*time.Millisecond)
			r.connected(r.sites["south"], 9100*time.Microsecond)
		}
		if fmt.Sprint(r.order[0].name) != got[0] {
			t.Errorf("%s first, for a tenth of the way", r.order[0].name)
		}
	}
}

// Guard: a silent site is given up within two aims, asked single trials only, and comes back by steps; each takes its time.
func TestLostAndBack(t *testing.T) {
	r := newRig(t, Config{Home: "south"})
	r.ask(100, aim/50, well)
	r.ask(100, aim/50, without("south"))
	r.want("south", Lost)
	if to := r.ask(1000, aim/50, without("south")); to["south"] > 8 {
		t.Errorf("%d requests in 20 aims went to a lost site", to["south"])
	}
	last, begun := 0, balance.Time(0)
	for r.sites["south"].state != Home {
		to := r.ask(100, aim/50, well)["south"]
		if r.sites["south"].state == Returning && begun == 0 {
			begun = r.now
		}
		if to < last-15 {
			t.Errorf("%d of 100 at home, %d before", to, last)
		}
		if last = to; r.now.Sub(begun) > 60*aim && begun != 0 {
			t.Fatal("it never came home")
		}
	}
	if took := r.now.Sub(begun); took < time.Duration(holdAims*len(defaultSteps)-2)*aim {
		t.Errorf("it was home after %v", took)
	}
}

// Guard: a return that fails on its third step went back to the start, and one that flaps was taken home again and again.
func TestReturnsThatFail(t *testing.T) {
	r := newRig(t, Config{Home: "south"})
	r.ask(150, aim/50, without("south"))
	for r.sites["south"].step < 2 {
		r.ask(10, aim/50, well)
	}
	for r.sites["south"].step == 2 { // it answers, and can't keep up
		r.ask(1, aim/50, func(zone string) (balance.Result, time.Duration) {
			if zone == "south" {
				return balance.Full, 0
			}
			return well(zone)
		})
	}
	if s := r.sites["south"]; s.state != Returning || s.step != 1 || s.drawn != 2 {
		t.Errorf("%v at step %d, drawn out by %v", s.state, s.step, s.drawn)
	}
	changes, was := 0, r.sites["south"].state
	for n := range 40 { // three aims gone, three back
		how := well
		if n%2 == 0 {
			how = without("south")
		}
		r.ask(150, aim/50, how)
		if s := r.sites["south"].state; s != was {
			changes, was = changes+1, s
		}
	}
	if home := r.sites["south"].state == Home; home || changes > 40 || r.sites["south"].drawn != holdMost {
		t.Errorf("home %v after flapping, %d changes seen, drawn out by %v", home, changes, r.sites["south"].drawn)
	}
}

// Guard: what is only slow, full or failing behind is there. Taken for lost it would push its load onto the others.
func TestSlowIsNotLost(t *testing.T) {
	for _, result := range []balance.Result{balance.OK, balance.Full, balance.Errored, balance.Spoilt} {
		r := newRig(t, Config{Home: "south"})
		r.ask(200, aim/50, func(string) (balance.Result, time.Duration) { return result, 2 * aim })
		r.want("south", Home)
	}
}

// Guard: the list's word. A site without caches is lost at once and one that is listed again is tried at once; silence is seen
// whatever the list says (TestLostAndBack). With all sites lost whoever is listed is asked, or none would ever come back.
func TestListAndLast(t *testing.T) {
	r := newRig(t, Config{Home: "south"})
	r.list(3, 0, 3)
	if to := r.ask(50, aim/50, well); to["south"] > 0 {
		t.Errorf("%v while none is listed at south", to)
	}
	r.list(3, 3, 3)
	r.ask(2, aim/50, well)
	r.want("south", Returning)
	r.ask(600, aim/50, without("north", "south", "west"))
	if to := r.ask(100, aim/50, without("north", "south", "west")); to["none"] > 0 {
		t.Errorf("%v while all are lost", to)
	}
	r.ask(3000, aim/50, well)
	for _, zone := range []string{"north", "south", "west"} {
		if r.sites[zone].state == Lost {
			t.Errorf("%s is still lost", zone)
		}
	}
}

// Guard: keys that a site has to fetch, guests' and a cold return's alike, wait on one limit, which late fetches lower, whoever
// else asks the origin. Keys that it has answered for cost nothing.
func TestFetchesAreBounded(t *testing.T) {
	r := newRig(t, Config{Home: "south", Share: 0.1})
	r.ask(150, aim/50, without("south"))
	before := r.news
	var out []uint64
	for key := range uint64(200) { // none ends
		v := balance.Visit{Key: 1<<40 + key<<20, Read: true, Worth: 1}
		if all := r.Order(r.now, v); len(all) > 0 && all[0].Part > 0 {
			if r.Begun(r.now, all[0].Zone, v.Key, true, true) {
				out = append(out, v.Key)
			}
		}
	}
	if len(out) == 0 || float64(len(out)) > before {
		t.Errorf("%d fetches out, %.1f allowed", len(out), before)
	}
	for range 20 {
		for _, key := range out {
			r.now = r.now.Add(aim)
			r.Ended(r.now, balance.Stay{Zone: "north", Key: key, Took: aim, Result: balance.Errored, News: true})
			r.Begun(r.now, "north", key, true, true)
		}
	}
	if r.news > before/2 {
		t.Errorf("%.1f fetches allowed while they fail, %.1f before", r.news, before)
	}
	r.learn(r.sites["north"], 77)
	if all := r.Order(r.now, balance.Visit{Key: 77, Read: true}); all[0].Part == 0 {
		t.Error("a key that is known is refused")
	}
	if len(r.known[0])+len(r.known[1]) > 2*knownMost {
		t.Error("what is known is not bounded")
	}
}

// first is the site that a request is offered first, with its part.
func (r *rig) first(v balance.Visit) string {
	all := r.Order(r.now, v)
	return fmt.Sprintf("%s %.1f", all[0].Zone, all[0].Part)
}

// Guard: a request that may not be sent again was spent on a trial of a silent site, or waited there a second time; and what no
// other site had a place for was refused though its own, on its way back, had one.
func TestWhoGoesWhere(t *testing.T) {
	r := newRig(t, Config{Home: "south"})
	r.ask(8, aim/50, without("south"))
	r.want("south", Failing)
	v := balance.Visit{Key: 1, Read: true, Worth: 1}
	if got := r.first(v); got != "south 1.0" {
		t.Errorf("a key of the quarter that a failing site keeps goes to %s", got)
	}
	v.Again = true
	if got := r.first(v); got != "north 0.5" {
		t.Errorf("once nobody has answered at home it goes to %s", got)
	}
	v.Key = 0xffff
	if all := r.Order(r.now, v); all[len(all)-1].Zone != "south" {
		t.Errorf("home is no last resort: %v", all)
	}
	r.ask(100, aim/50, without("south"))
	r.want("south", Lost)
	r.now = r.now.Add(5 * aim)
	if got := r.first(balance.Visit{Key: 5, Read: true, Worth: 1}); got != "north 0.5" {
		t.Errorf("an unsafe request goes to %s, which is lost", got)
	}
	if got := r.first(balance.Visit{Key: 5, Read: true, Safe: true, Worth: 1}); got != "south 1.0" {
		t.Errorf("the trial goes to %s", got)
	}
	r.list(3, 0, 3)
	r.list(3, 3, 3)
	if got := r.first(balance.Visit{Key: 5, Safe: true, Worth: 1}); got != "south 1.0" {
		t.Errorf("listed again it is not tried at once: %s", got)
	}
	for _, s := range r.sites { // while no site is home, those that are there keep all
		s.state = Failing
	}
	if got := r.first(balance.Visit{Key: 0xffff, Worth: 1}); got != "south 1.0" {
		t.Errorf("with all failing a key goes to %s", got)
	}
}

// Guard: a key that had gone home went away again as the part grew; a return cut short began from the start; what a site knew
// before it was lost was not counted as a fetch; fetches of little worth took the places of others.
func TestWhatAReturnKeeps(t *testing.T) {
	r := newRig(t, Config{Home: "south"})
	r.ask(150, aim/50, without("south"))
	south := r.sites["south"]
	for south.step < 2 {
		r.ask(10, aim/50, well)
	}
	for key := range uint64(1 << 16) {
		v := balance.Visit{Key: key, Worth: 1}
		if low := r.has(r.now, south, v, 1); low != (key < 1<<14) {
			t.Fatalf("key %x is at home: %v, at a quarter", key, low)
		}
	}
	r.learn(south, 9)
	r.list(3, 0, 3)
	if r.knows(south, 9) {
		t.Error("a site that was lost is taken to have kept what it had")
	}
	r.list(3, 3, 3)
	r.ask(1, aim/50, well)
	if south.state != Returning || south.step != 1 {
		t.Errorf("%v at step %d after a loss on step 2", south.state, south.step)
	}
	r.now = r.now.Add(100 * aim) // nobody asks: that is no proof that it is well
	r.climb(r.now, south)
	r.climb(r.now, south)
	if south.step > 2 {
		t.Errorf("step %d without an answer", south.step)
	}
	r.newsOut, r.news = 0, 2
	r.Begun(r.now, "north", 100, true, true)
	high, low := balance.Visit{Key: 101, Read: true, Worth: 1}, balance.Visit{Key: 102, Read: true, Worth: 0.1}
	if north := r.sites["north"]; !r.mayFetch(north, high) || r.mayFetch(north, low) {
		t.Error("what is worth little leaves no place")
	}
	r.learn(r.sites["north"], 100)
	if r.Begun(r.now, "north", 100, true, true) {
		t.Error("a known key counts as a fetch")
	}
	for key := range uint64(3 * knownMost) {
		r.learn(south, key)
	}
	if n := len(r.known[0]) + len(r.known[1]); n > 2*knownMost {
		t.Errorf("%d keys are remembered", n)
	}
	before := r.news
	for range 3 { // single late ones among quick ones
		r.newsTook = aim / 10
		r.newsOut++
		r.fetched(r.now.Add(9*aim), balance.Stay{Took: aim, Result: balance.OK, News: true})
	}
	if r.news < before {
		t.Error("a single late fetch lowers the limit")
	}
}

// Guard: the list named another zone for a server with an attempt out. The attempt was booked off the new zone, and the old one
// counted it for ever: never let go, and the new one with less than none.
func TestServerChangesItsZone(t *testing.T) {
	tiers := New(Config{})
	b := balance.New(balance.Settings{Tiers: func() balance.Tiers { return tiers },
		Classes: []balance.Class{{Name: "read", Aim: aim, Worth: 1}}}, 1)
	list := func(zone string) balance.List {
		return balance.List{Kind: balance.Complete, Entries: []balance.Entry{{Server: "a", Zone: zone, Weight: 1}}}
	}
	b.Handle(1e15, []balance.Event{list("old"), balance.Request{ID: "r", Class: "read", Key: 1, HasKey: true, Due: 2e15}})
	if tiers.sites["old"].open != 1 {
		t.Fatal("no attempt was made")
	}
	b.Handle(1e15+1, []balance.Event{list("new"), balance.Outcome{ID: "r", Server: "a", Result: balance.OK, Done: true}})
	if o, n := tiers.sites["old"].open, tiers.sites["new"].open; o != 0 || n != 0 {
		t.Errorf("%d attempts out at the old zone, %d at the new", o, n)
	}
}

// BenchmarkRequest is one request and its answer, all decisions included, before fleets of three sites.
func BenchmarkRequest(b *testing.B) {
	for _, caches := range []int{30, 300, 3000} {
		for _, how := range []string{"off", "home", "lost"} {
			b.Run(fmt.Sprint(caches, "/", how), func(b *testing.B) {
				set := balance.Settings{Routers: 3, Zone: "z0", MaxAttempts: 3, Classes: []balance.Class{{Name: "read", Aim: aim, Worth: 1, Effect: balance.Safe}}}
				if how != "off" {
					set.Tiers = func() balance.Tiers { return New(Config{Home: "z0"}) }
				}
				r, l := balance.New(set, 1), balance.List{Kind: balance.Complete}
				for i := range caches {
					if zone := fmt.Sprint("z", i%3); how != "lost" || zone != "z0" {
						l.Entries = append(l.Entries, balance.Entry{Server: balance.ServerID(fmt.Sprint("c", i)), Zone: zone, Weight: 1})
					}
				}
				now := balance.Time(1e15)
				r.Handle(now, []balance.Event{l})
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Millisecond)
					id := balance.RequestID(fmt.Sprint(i))
					for _, a := range r.Handle(now, []balance.Event{balance.Request{ID: id, Class: "read", Key: uint64(i % 5000), HasKey: true, Due: now.Add(aim)}}) {
						if s, ok := a.(balance.Send); ok {
							r.Handle(now.Add(time.Microsecond), []balance.Event{balance.Outcome{ID: id, Server: s.Server, Result: balance.OK, Done: true}})
						}
					}
				}
			})
		}
	}
}

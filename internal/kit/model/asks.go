package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"cedarmast/internal/kit/scenario"
)

// Ask is what a client wants: one or several tries at one request.
type Ask struct {
	N      int // from 0, by time
	At     Time
	Class  int
	Tenant int
	Site   int
	Key    uint64
	Worth  float64 // less for what is over its tenant's share
	Within bool    // its tenant's share
	Work   time.Duration

	draws  uint64 // seed of what its tries draw
	heeds  bool   // Retry-After
	tries  int
	done   bool
	served bool
}

// asks draws a day's requests, by time.
func asks(s *scenario.Scenario, seed uint64) []*Ask {
	var all []*Ask
	arrive, class, tenant, site := Stream(seed, "arrivals"), Stream(seed, "classes"), Stream(seed, "tenants"), Stream(seed, "sites")
	keys, work, other := newZipf(s.Keys, Stream(seed, "keys"), Stream(seed, "key changes")), Stream(seed, "work"), Stream(seed, "clients")
	classes := make([]float64, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = c.Share
	}
	tenants, whole := make([]float64, len(s.Tenants)), 0.0
	for i, t := range s.Tenants {
		tenants[i] = t.Share * t.Usage
		whole += t.Share
	}
	sites := make([]float64, len(s.Sites))
	for i, at := range s.Sites {
		sites[i] = at.Share
	}
	used := make([]bucket, len(s.Tenants))
	phase := other.Float64()
	hot := Stream(seed, "hot keys")
	length := s.Length.D().Seconds()
	for at := -s.WarmUp.D().Seconds(); ; {
		rate := s.Rate * (1 + s.Swing*math.Sin(2*math.Pi*(2*at/length+phase)))
		for _, t := range s.Troubles {
			if t.Kind == "burst" && at >= t.At.D().Seconds() && at < (t.At+t.For).D().Seconds() {
				rate *= t.Size
			}
		}
		if at < 0 {
			rate *= warmRate
		}
		at += arrive.ExpFloat64() / rate
		if at >= length {
			return all
		}
		a := &Ask{N: len(all), At: Time(at * 1e9), Class: pick(class, classes), Tenant: pick(tenant, tenants), Site: pick(site, sites),
			Key: keys.draw(at), draws: other.Uint64(), heeds: other.Float64() < s.Clients.Honour}
		chosen, which := hot.Float64(), hot.Float64()
		for i, t := range s.Troubles {
			if t.Kind != "hot-key" || a.At < t.At.D() || a.At >= (t.At+t.For).D() {
				continue
			}
			part := t.Part
			if part == 0 {
				part = 0.5
			}
			if chosen < part {
				a.Key = keys.key(s.Keys.Count + 1000*i + int(which*t.Size)) // none of the usual ones
			}
		}
		c := &s.Classes[a.Class]
		a.Work = time.Duration(float64(c.Work) * lognormal(work, c.Spread))
		heavy := work.Float64()
		for _, t := range s.Troubles {
			if t.Kind == "heavy" && a.At >= t.At.D() && a.At < (t.At+t.For).D() && (t.Class == "" || t.Class == c.Name) && heavy < heavyPart(t) {
				a.Work = time.Duration(float64(a.Work) * t.Size)
			}
		}
		if at < 0 {
			a.Work = time.Duration(float64(a.Work) * warmWork)
		}
		a.Worth, a.Within = c.Worth, used[a.Tenant].take(at, s.Rate*s.Tenants[a.Tenant].Share/whole)
		if !a.Within {
			a.Worth *= s.Clients.OverShare
		}
		all = append(all, a)
	}
}

// Before the day begins, clients ask more and lighter, so that caches are warm in a few seconds; see also database.do.
const (
	warmRate = 3.0
	warmWork = 0.25
)

// heavyPart is the part of the requests that a trouble makes heavy: what it says, else one in fifty.
func heavyPart(t scenario.Trouble) float64 {
	if t.Part > 0 {
		return t.Part
	}
	return 0.02
}

// bucket lets through a rate, with what two seconds bring saved up.
type bucket struct {
	tokens, at float64
	begun      bool
}

const bucketSpan = 2.0 // seconds

func (b *bucket) take(at, rate float64) bool {
	if !b.begun {
		b.tokens, b.at, b.begun = rate*bucketSpan, at, true
	}
	b.tokens = min(b.tokens+(at-b.at)*rate, rate*bucketSpan)
	b.at = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pick draws an index by weight.
func pick(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}

// lognormal draws with mean 1 and a standard deviation.
func lognormal(r *rand.Rand, deviation float64) float64 {
	x := r.NormFloat64()
	if deviation == 0 {
		return 1
	}
	sigma2 := math.Log1p(deviation * deviation)
	return math.Exp(math.Sqrt(sigma2)*x - sigma2/2)
}

// zipf draws ranks by popularity 1/(rank+offset)^exponent, over a sum made once; the library's own needs an exponent over 1.
type zipf struct {
	r       *rand.Rand
	sums    []float64
	salt    uint64
	changes float64
	ids     []int32 // by rank, once any has changed
	next    float64 // change, in seconds of the day
	moves   *rand.Rand
}

func newZipf(k scenario.Keys, r, moves *rand.Rand) *zipf {
	z := &zipf{r: r, sums: make([]float64, k.Count), salt: r.Uint64(), changes: k.Changes, moves: moves, next: math.Inf(-1)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i)+1+k.Offset, -k.Zipf)
		z.sums[i] = sum
	}
	if k.Changes > 0 {
		z.ids = make([]int32, k.Count)
		for i := range z.ids {
			z.ids[i] = int32(i)
		}
	}
	return z
}

// draw draws the key of a request at a moment of the day.
func (z *zipf) draw(at float64) uint64 {
	if z.changes > 0 {
		if math.IsInf(z.next, -1) {
			z.next = at + z.moves.ExpFloat64()/z.changes
		}
		for ; z.next <= at; z.next += z.moves.ExpFloat64() / z.changes {
			i, j := z.rank(z.moves), z.moves.IntN(len(z.ids)) // one that is popular, and any
			z.ids[i], z.ids[j] = z.ids[j], z.ids[i]
		}
	}
	rank := z.rank(z.r)
	if z.ids != nil {
		rank = int(z.ids[rank])
	}
	return z.key(rank)
}

func (z *zipf) rank(r *rand.Rand) int {
	return sort.SearchFloat64s(z.sums, r.Float64()*z.sums[len(z.sums)-1])
}

// key is the key of a rank: a number spread over all.
func (z *zipf) key(rank int) uint64 {
	x := (uint64(rank) + z.salt) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	return x * 0xd6e8feb86659fd93
}

// Try is one request that a client sends.
type Try struct {
	*Ask
	Number   int    // from 0
	ID       string // the correlation id, new with every try
	Token    string // the idempotency key, the same for all tries
	Router   int
	Begun    Time
	Patience time.Duration // how long its client waits
	Left     bool          // its client has closed the connection: whatever comes is not seen

	over bool
}

// try makes the ask's next try.
func (a *Ask) try(s *scenario.Scenario, now Time) *Try {
	r := rand.New(rand.NewPCG(a.draws, uint64(a.tries)))
	c := &s.Classes[a.Class]
	lo, hi := s.Clients.Patience[0], s.Clients.Patience[1]
	patience := time.Duration((lo + (hi-lo)*r.Float64()) * float64(c.Deadline))
	t := &Try{Ask: a, Number: a.tries, Begun: now, Patience: min(patience, a.At+c.Deadline.D()-now),
		ID: fmt.Sprintf("%016x", r.Uint64()), Token: fmt.Sprintf("%016x", a.draws)}
	a.tries++
	return t
}

// draw returns a number of a try's own.
func (t *Try) draw(purpose uint64) float64 {
	return rand.New(rand.NewPCG(t.draws^purpose*0x9e3779b97f4a7c15, uint64(t.Number))).Float64()
}

package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"cedarmast/internal/kit/scenario"
)

// Request is one request of a client, which may take several tries.
type Request struct {
	Index       int // number of the request, from 0 in order of time
	At          Time
	Class       int
	Tenant      int
	Site        int
	Key         uint64
	Worth       float64 // reduced if the tenant is over its share
	WithinShare bool    // whether the tenant was within its share
	Work        time.Duration

	seed              uint64 // of the random numbers of its tries
	honoursRetryAfter bool   // whether the client waits for Retry-After
	tries             int
	done              bool
	served            bool
}

// drawRequests draws all requests of a run, in order of time.
func drawRequests(s *scenario.Scenario, seed uint64) []*Request {
	var all []*Request
	arrivals, class, tenant, site := Stream(seed, "arrivals"), Stream(seed, "classes"), Stream(seed, "tenants"), Stream(seed, "sites")
	keys, work, other := newZipf(s.Keys, Stream(seed, "keys"), Stream(seed, "key changes")), Stream(seed, "work"), Stream(seed, "clients")
	classes := make([]float64, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = c.Share
	}
	tenants, totalShare := make([]float64, len(s.Tenants)), 0.0
	for i, t := range s.Tenants {
		tenants[i] = t.Share * t.Usage
		totalShare += t.Share
	}
	sites := make([]float64, len(s.Sites))
	for i, at := range s.Sites {
		sites[i] = at.Share
	}
	buckets := make([]tokenBucket, len(s.Tenants))
	phase := other.Float64()
	hotKeys := Stream(seed, "hot keys")
	length := s.Length.D().Seconds()
	for at := -s.WarmUp.D().Seconds(); ; {
		rate := s.Rate * (1 + s.Swing*math.Sin(2*math.Pi*(2*at/length+phase)))
		for _, t := range s.Troubles {
			if t.Kind == "burst" && at >= t.At.D().Seconds() && at < (t.At+t.For).D().Seconds() {
				rate *= t.Size
			}
		}
		if at < 0 {
			rate *= warmUpRateFactor
		}
		at += arrivals.ExpFloat64() / rate
		if at >= length {
			return all
		}
		a := &Request{Index: len(all), At: Time(at * 1e9), Class: pickWeighted(class, classes),
			Tenant: pickWeighted(tenant, tenants), Site: pickWeighted(site, sites),
			Key: keys.draw(at), seed: other.Uint64(), honoursRetryAfter: other.Float64() < s.Clients.Honour}
		hotDraw, hotIndex := hotKeys.Float64(), hotKeys.Float64()
		for i, t := range s.Troubles {
			if t.Kind != "hot-key" || a.At < t.At.D() || a.At >= (t.At+t.For).D() {
				continue
			}
			share := t.Part
			if share == 0 {
				share = 0.5
			}
			if hotDraw < share {
				a.Key = keys.key(s.Keys.Count + 1000*i + int(hotIndex*t.Size)) // outside the regular keys
			}
		}
		c := &s.Classes[a.Class]
		a.Work = time.Duration(float64(c.Work) * lognormal(work, c.Spread))
		heavy := work.Float64()
		for _, t := range s.Troubles {
			if t.Kind == "heavy" && a.At >= t.At.D() && a.At < (t.At+t.For).D() && (t.Class == "" || t.Class == c.Name) && heavy < heavyShare(t) {
				a.Work = time.Duration(float64(a.Work) * t.Size)
			}
		}
		if at < 0 {
			a.Work = time.Duration(float64(a.Work) * warmUpWorkFactor)
		}
		a.Worth, a.WithinShare = c.Worth, buckets[a.Tenant].take(at, s.Rate*s.Tenants[a.Tenant].Share/totalShare)
		if !a.WithinShare {
			a.Worth *= s.Clients.OverShare
		}
		all = append(all, a)
	}
}

// During warm-up, clients send more and lighter requests, so that caches are warm in a few seconds; see also database.do.
const (
	warmUpRateFactor = 3.0
	warmUpWorkFactor = 0.25
)

// heavyShare returns the share of requests that a heavy trouble affects: its Part, or one in fifty.
func heavyShare(t scenario.Trouble) float64 {
	if t.Part > 0 {
		return t.Part
	}
	return 0.02
}

// tokenBucket is a rate limit with a burst of two seconds' worth of tokens.
type tokenBucket struct {
	tokens, at float64
	started    bool
}

const bucketSeconds = 2.0 // burst size, as seconds of the rate

// take takes a token if there is one; at is in seconds, rate in tokens per second.
func (b *tokenBucket) take(at, rate float64) bool {
	if !b.started {
		b.tokens, b.at, b.started = rate*bucketSeconds, at, true
	}
	b.tokens = min(b.tokens+(at-b.at)*rate, rate*bucketSeconds)
	b.at = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pickWeighted draws an index in proportion to the weights.
func pickWeighted(r *rand.Rand, weights []float64) int {
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

// lognormal draws from a lognormal distribution with mean 1 and the given standard deviation.
func lognormal(r *rand.Rand, deviation float64) float64 {
	x := r.NormFloat64()
	if deviation == 0 {
		return 1
	}
	sigma2 := math.Log1p(deviation * deviation)
	return math.Exp(math.Sqrt(sigma2)*x - sigma2/2)
}

// zipf draws ranks with probability proportional to 1/(rank+offset)^exponent, from a precomputed cumulative sum;
// math/rand's own Zipf requires an exponent over 1.
type zipf struct {
	rng        *rand.Rand
	cumulative []float64
	salt       uint64
	changeRate float64
	keyByRank  []int32 // nil while ranks never change
	nextChange float64 // time of the next rank change, in seconds of the run
	changeRNG  *rand.Rand
}

func newZipf(k scenario.Keys, rng, changeRNG *rand.Rand) *zipf {
	z := &zipf{rng: rng, cumulative: make([]float64, k.Count), salt: rng.Uint64(), changeRate: k.Changes, changeRNG: changeRNG, nextChange: math.Inf(-1)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i)+1+k.Offset, -k.Zipf)
		z.cumulative[i] = sum
	}
	if k.Changes > 0 {
		z.keyByRank = make([]int32, k.Count)
		for i := range z.keyByRank {
			z.keyByRank[i] = int32(i)
		}
	}
	return z
}

// draw returns the key of a request at a time in seconds of the run.
func (z *zipf) draw(at float64) uint64 {
	if z.changeRate > 0 {
		if math.IsInf(z.nextChange, -1) {
			z.nextChange = at + z.changeRNG.ExpFloat64()/z.changeRate
		}
		for ; z.nextChange <= at; z.nextChange += z.changeRNG.ExpFloat64() / z.changeRate {
			i, j := z.rank(z.changeRNG), z.changeRNG.IntN(len(z.keyByRank)) // a popular rank and a uniformly drawn one
			z.keyByRank[i], z.keyByRank[j] = z.keyByRank[j], z.keyByRank[i]
		}
	}
	rank := z.rank(z.rng)
	if z.keyByRank != nil {
		rank = int(z.keyByRank[rank])
	}
	return z.key(rank)
}

func (z *zipf) rank(r *rand.Rand) int {
	return sort.SearchFloat64s(z.cumulative, r.Float64()*z.cumulative[len(z.cumulative)-1])
}

// key hashes a rank to a key.
func (z *zipf) key(rank int) uint64 {
	x := (uint64(rank) + z.salt) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	return x * 0xd6e8feb86659fd93
}

// Try is one attempt of a client at a request.
type Try struct {
	*Request
	Number         int    // of the try, from 0
	CorrelationID  string // correlation id, new with every try
	IdempotencyKey string // idempotency key, the same for all tries
	Router         int
	StartedAt      Time
	Timeout        time.Duration // the client's timeout
	ClientGone     bool          // the client has closed the connection and sees no answer

	over bool
}

// newTry creates the request's next try.
func (a *Request) newTry(s *scenario.Scenario, now Time) *Try {
	r := rand.New(rand.NewPCG(a.seed, uint64(a.tries)))
	c := &s.Classes[a.Class]
	lo, hi := s.Clients.Patience[0], s.Clients.Patience[1]
	patience := time.Duration((lo + (hi-lo)*r.Float64()) * float64(c.Deadline))
	t := &Try{Request: a, Number: a.tries, StartedAt: now, Timeout: min(patience, a.At+c.Deadline.D()-now),
		CorrelationID: fmt.Sprintf("%016x", r.Uint64()), IdempotencyKey: fmt.Sprintf("%016x", a.seed)}
	a.tries++
	return t
}

// draw returns a random number in [0, 1) that depends only on the try and the purpose.
func (t *Try) draw(purpose uint64) float64 {
	return rand.New(rand.NewPCG(t.seed^purpose*0x9e3779b97f4a7c15, uint64(t.Number))).Float64()
}

// Package randomconfig draws random configurations and random changes of them, for fuzz tests and the soak: changes of fields of routes, and
// of single bytes of the text.
package randomconfig

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

// Route is a route of a configuration, with its fields as they are written.
type Route struct {
	Name, Host, Prefix, Kind string
	Timeout, Target, Shelf   string
	Precedence, Tries        int
	Unsealed                 bool
	Split                    []Share // one entry, if the route is not split among services
}

// Share is a service's share of a route's requests.
type Share struct {
	Service string  `json:"carrier"`
	Weight  float64 `json:"share"`
}

// The values that fields are drawn from: usual ones and extremes that are valid.
var (
	timeouts    = []string{"2000ms", "4s", "1500ms", "600s", "2.5s"}
	targets     = []string{"500ms", "1ms", "0ms", "900s", "0.25s"}
	shelves     = []string{"0ms", "1ms", "300ms", "2s", "20s", "40s", "1000000s"}
	precedences = []int{0, 1, 2, 9, -1, math.MaxInt64, math.MinInt64}
	tries       = []int{0, 1, 2, 3, 5, -1, math.MaxInt64}
	rates       = []float64{0, 1e6, 1e300, -1}
	connCaps    = []int{130, 0, -1, math.MaxInt64}
)

// pick draws one of several values.
func pick[T any](rng *rand.Rand, values []T) T { return values[rng.IntN(len(values))] }

// ChangeField changes one field of the route. It is cacheable or resendable afterwards, and leads to one or more of the services.
func (r *Route) ChangeField(rng *rand.Rand, services []string) {
	switch rng.IntN(8) {
	case 0:
		r.Kind = pick(rng, []string{"shelved", "shelved", "resendable"})
	case 1:
		r.Timeout = pick(rng, timeouts)
	case 2:
		r.Target = pick(rng, targets)
	case 3, 4:
		r.Shelf = pick(rng, shelves)
	case 5:
		r.Precedence = pick(rng, precedences)
	case 6:
		r.Tries = pick(rng, tries)
	case 7:
		r.Split = drawSplit(rng, services)
	}
}

// drawSplit draws the services of a route: one of them, or shares of all, some of which may be 0.
func drawSplit(rng *rand.Rand, services []string) (split []Share) {
	if rng.IntN(2) == 0 {
		return []Share{{pick(rng, services), 1}}
	}
	first := rng.IntN(len(services))
	for i, service := range services {
		weight := pick(rng, []float64{0, 0.5, 1, 99})
		if i == first {
			weight = 1
		}
		split = append(split, Share{service, weight})
	}
	return split
}

// Parcel returns the route as a parcel of a configuration.
func (r Route) Parcel() string {
	spec := map[string]any{"domain": r.Host, "path_prefix": r.Prefix, "mail_class": r.Kind, "timeout": r.Timeout, "target": r.Target,
		"precedence": r.Precedence, "tries": r.Tries, "shelf": r.Shelf}
	if r.Unsealed {
		spec["unsealed"] = true
	}
	if len(r.Split) == 1 {
		spec["carrier"] = r.Split[0].Service
	} else {
		spec["split_among"] = r.Split
	}
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // unreachable: the values are strings and finite numbers
	}
	return fmt.Sprintf(`{"parcel_kind":"routes","label":{"name":%q},"manifest":%s}`, r.Name, text)
}

// Service is a service of a configuration.
type Service struct {
	Name     string
	RatePerS float64
	ConnCap  int
}

// ChangeField changes one field of the service. Its rate is 0 (unlimited), far above all demand, or below 0, which is none.
func (s *Service) ChangeField(rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		s.RatePerS = pick(rng, rates)
		return
	}
	s.ConnCap = pick(rng, connCaps)
}

// Parcel returns the service as a parcel of a configuration.
func (s Service) Parcel() string {
	return fmt.Sprintf(`{"parcel_kind":"carriers","label":{"name":%q},"manifest":{"health_path":"/health","line_cap":%d,"rate_per_s":%g}}`,
		s.Name, s.ConnCap, s.RatePerS)
}

// Document returns a configuration's text. base 0 stands for the state before the first configuration.
func Document(version, base int, parcels ...string) []byte {
	return fmt.Appendf(nil, `{"edition":"r%d","based_on":"r%d","parcels":[%s]}`, version, base, strings.Join(parcels, ","))
}

// inserted holds the bytes that ChangeBytes inserts or writes over others: white space, the bytes of JSON's grammar, digits, control
// characters, and bytes that don't occur in UTF-8.
const inserted = "    \n\n\t\r{}[]:,\"\\'0123456789.-+eE_nulltruefs\x00\x1f\x7f\x80\xff"

// ChangeBytes returns a copy of a text in which one to three bytes are replaced, inserted or removed, often inside a number: parsers differ
// in what they make of that.
func ChangeBytes(rng *rand.Rand, text []byte) []byte {
	text = append([]byte(nil), text...)
	for range 1 + rng.IntN(3) {
		at := rng.IntN(len(text) + 1)
		if rng.IntN(2) == 0 {
			at = nextDigit(text, at)
		}
		c := inserted[rng.IntN(len(inserted))]
		switch rng.IntN(4) {
		case 0:
			if at < len(text) {
				text[at] = c
			}
		case 1:
			if at < len(text) && len(text) > 1 {
				text = append(text[:at], text[at+1:]...)
			}
		default:
			text = append(text[:at], append([]byte{c}, text[at:]...)...)
		}
	}
	return text
}

// nextDigit returns the position after the first digit at or after a position; the position itself if there is none.
func nextDigit(text []byte, from int) int {
	for at := from; at < len(text); at++ {
		if text[at] >= '0' && text[at] <= '9' {
			return at + 1
		}
	}
	return from
}

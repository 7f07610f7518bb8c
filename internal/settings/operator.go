package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"cedarmast/balance"
	"cedarmast/internal/placement"
	"cedarmast/internal/sites"
)

// Operator is the operators' own configuration file, for options that the platform's settings don't have. Sections
// that are left out are off.
type Operator struct {
	Sites  *Sites  `toml:"sites,omitempty"`
	State  *State  `toml:"state,omitempty"`
	Shared *Shared `toml:"shared,omitempty"`

	Placement *Placement `toml:"placement,omitempty"`
}

// Placement selects how keys are assigned to servers.
type Placement struct {
	By string `toml:"by"` // cuts: the interval table, the default; list: the server list alone
}

func (p *Placement) check() error {
	if p != nil && p.By != "cuts" && p.By != "list" {
		return fmt.Errorf("by: %q is neither cuts nor list", p.By)
	}
	return nil
}

// Shared turns on the state that routers share. It needs messages between routers.
type Shared struct {
	Forget string `toml:"forget_after,omitempty"` // how long after a server left the list its facts are kept; default 48h
}

const defaultForgetAfter = 48 * time.Hour

// ForgetAfter returns how long after a server left the list its facts are kept. The text was validated when the file
// was read.
func (s *Shared) ForgetAfter() time.Duration { return durationOr(s.Forget, defaultForgetAfter) }

// SharedSection returns the [shared] section; nil if it is off.
func (o *Operator) SharedSection() *Shared {
	if o == nil {
		return nil
	}
	return o.Shared
}

func (s *Shared) check() error {
	if s == nil || s.Forget == "" {
		return nil
	}
	if d, err := time.ParseDuration(s.Forget); err != nil || d < time.Minute {
		return fmt.Errorf("forget_after: %q is not a duration of a minute or more, such as 48h", s.Forget)
	}
	return nil
}

// State turns on stored state, which a router restores when it restarts.
type State struct {
	Dir   string `toml:"dir"`                // existing persistent directory; several routers may use it
	Every string `toml:"every,omitempty"`    // interval between saves as a Go duration; default 5s
	List  string `toml:"list_for,omitempty"` // maximum age of a stored list that is restored; default 24h
}

// Defaults of the [state] section.
const (
	defaultSaveInterval = 5 * time.Second
	defaultMaxListAge   = 24 * time.Hour
)

// SaveInterval returns the interval between two saves and MaxListAge the maximum age of a stored list. The texts were
// validated when the file was read.
func (s *State) SaveInterval() time.Duration { return durationOr(s.Every, defaultSaveInterval) }
func (s *State) MaxListAge() time.Duration   { return durationOr(s.List, defaultMaxListAge) }

// durationOr parses a duration and returns the default if the text is empty or invalid.
func durationOr(text string, defaultValue time.Duration) time.Duration {
	if d, err := time.ParseDuration(text); err == nil {
		return d
	}
	return defaultValue
}

// StateSection returns the [state] section; nil if it is off.
func (o *Operator) StateSection() *State {
	if o == nil {
		return nil
	}
	return o.State
}

func (s *State) check() error {
	if s == nil {
		return nil
	}
	if info, err := os.Stat(s.Dir); err != nil || !info.IsDir() {
		return fmt.Errorf("dir: %q is not an existing directory", s.Dir)
	}
	for _, key := range []struct {
		name, text string
		least      time.Duration
	}{{"every", s.Every, time.Second}, {"list_for", s.List, 0}} {
		if key.text == "" {
			continue
		}
		d, err := time.ParseDuration(key.text)
		if err != nil {
			return fmt.Errorf("%s: %q is not a duration such as 5s or 24h", key.name, key.text)
		}
		if d < key.least {
			return fmt.Errorf("%s: %v is less than %v", key.name, d, key.least)
		}
	}
	return nil
}

// Sites turns on tiers of sites. Its keys are those of sites.Config.
type Sites struct {
	Prefer []string  `toml:"prefer,omitempty"`
	Spill  *float64  `toml:"spill,omitempty"`
	Steps  []float64 `toml:"steps,omitempty"`
	Hold   string    `toml:"hold,omitempty"` // Go duration such as 4s
}

// LoadOperator reads the operators' file; an empty path turns nothing on. Errors name the file, the line if known, and
// the key.
func LoadOperator(path string) (*Operator, error) {
	var o Operator
	if path == "" {
		return &o, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
			line, _ := unknown.Errors[0].Position()
			return nil, fmt.Errorf("%s:%d: unknown key %v", path, line, unknown.Errors[0].Key())
		}
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			line, _ := decodeError.Position()
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if _, err := o.sitesConfig(balance.Settings{}); err != nil {
		return nil, fmt.Errorf("%s: sites.%w", path, err)
	}
	if err := o.State.check(); err != nil {
		return nil, fmt.Errorf("%s: state.%w", path, err)
	}
	if err := o.Shared.check(); err != nil {
		return nil, fmt.Errorf("%s: shared.%w", path, err)
	}
	if err := o.Placement.check(); err != nil {
		return nil, fmt.Errorf("%s: placement.%w", path, err)
	}
	return &o, nil
}

// Apply adds what the file turns on to a router's settings.
func (o *Operator) Apply(set *balance.Settings) {
	if o != nil && o.Placement != nil && o.Placement.By == "list" {
		set.Placement = func() balance.Placement { return placement.New() }
	}
	if o == nil || o.Sites == nil {
		return
	}
	c, _ := o.sitesConfig(*set) // validated when the file was read
	set.Tiers = func() balance.Tiers { return sites.New(c) }
}

// sitesConfig converts the [sites] section for a router with the given settings and validates it.
func (o *Operator) sitesConfig(set balance.Settings) (sites.Config, error) {
	if o.Sites == nil {
		return sites.Config{}, nil
	}
	c := sites.Config{Prefer: o.Sites.Prefer, Steps: o.Sites.Steps, Home: set.Zone, RouterShare: 1 / float64(max(set.Routers, 1))}
	for i, class := range set.Classes {
		if i == 0 || class.Target < c.LatencyTarget {
			c.LatencyTarget = class.Target
		}
	}
	if o.Sites.Spill != nil { // a pointer tells 0 from a missing key
		if c.GuestShare = *o.Sites.Spill; !(c.GuestShare > 0) {
			return c, fmt.Errorf("spill: %v is not greater than 0", c.GuestShare)
		}
	}
	if o.Sites.Steps != nil && len(o.Sites.Steps) == 0 {
		return c, errors.New("steps: none")
	}
	if o.Sites.Hold != "" {
		var err error
		if c.StepDuration, err = time.ParseDuration(o.Sites.Hold); err != nil {
			return c, fmt.Errorf("hold: %q is not a duration such as 800ms or 4s", o.Sites.Hold)
		}
		if c.StepDuration <= 0 {
			return c, fmt.Errorf("hold: %v is not greater than 0", c.StepDuration)
		}
	}
	return c, c.Validate()
}

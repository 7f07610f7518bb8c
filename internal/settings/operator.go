package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"cedarmast/balance"
	"cedarmast/internal/sites"
)

// Operator is the operators' own file, which names what the platform's settings have no place for. What it leaves out is off.
type Operator struct {
	Sites *Sites `toml:"sites,omitempty"`
}

// Sites turns tiers of sites on. Its keys are those of sites.Config.
type Sites struct {
	Prefer []string  `toml:"prefer,omitempty"`
	Spill  *float64  `toml:"spill,omitempty"`
	Steps  []float64 `toml:"steps,omitempty"`
	Hold   string    `toml:"hold,omitempty"` // as Go writes spans of time: 4s
}

// LoadOperator reads the operators' file; an empty path is a file that turns nothing on. Faults name file, line where there
// is one, and key.
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
		var wrong *toml.DecodeError
		if errors.As(err, &wrong) {
			line, _ := wrong.Position()
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if _, err := o.sites(balance.Settings{}); err != nil {
		return nil, fmt.Errorf("%s: sites.%w", path, err)
	}
	return &o, nil
}

// Apply adds what the file turns on to the settings of a router.
func (o *Operator) Apply(set *balance.Settings) {
	if o == nil || o.Sites == nil {
		return
	}
	c, _ := o.sites(*set) // checked when the file was read
	set.Tiers = func() balance.Tiers { return sites.New(c) }
}

func (o *Operator) sites(set balance.Settings) (sites.Config, error) {
	if o.Sites == nil {
		return sites.Config{}, nil
	}
	c := sites.Config{Prefer: o.Sites.Prefer, Steps: o.Sites.Steps, Home: set.Zone, Share: 1 / float64(max(set.Routers, 1))}
	for i, class := range set.Classes {
		if i == 0 || class.Aim < c.Aim {
			c.Aim = class.Aim
		}
	}
	if o.Sites.Spill != nil { // 0 is not taken for a key left out
		if c.Spill = *o.Sites.Spill; !(c.Spill > 0) {
			return c, fmt.Errorf("spill: %v is not over 0", c.Spill)
		}
	}
	if o.Sites.Steps != nil && len(o.Sites.Steps) == 0 {
		return c, errors.New("steps: none")
	}
	if o.Sites.Hold != "" {
		var err error
		if c.Hold, err = time.ParseDuration(o.Sites.Hold); err != nil {
			return c, fmt.Errorf("hold: %q is no span of time such as 800ms or 4s", o.Sites.Hold)
		}
		if c.Hold <= 0 {
			return c, fmt.Errorf("hold: %v is not over 0", c.Hold)
		}
	}
	return c, c.Check()
}

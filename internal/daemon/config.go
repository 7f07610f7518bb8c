package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strconv"
	"time"

	"cedarmast/internal/settings"
	"cedarmast/internal/wire"
)

// Config is what a router is told at its start. It is read, checked and given defaults here and nowhere else.
type Config struct {
	Name       string            `json:"name"`
	Listen     string            `json:"listen"`
	Discovery  string            `json:"discovery"`
	Seed       string            `json:"seed"` // hexadecimal
	Limits     Limits            `json:"limits"`
	PeerListen string            `json:"peer_listen"` // empty: no messages between routers
	Peers      []string          `json:"peers"`
	Known      *wire.Endpoints   `json:"known"`
	Operators  string            `json:"operator"` // where operators' calls come; empty: none do
	Log        string            `json:"log"`      // the least level that is logged
	Settings   *settings.Profile `json:"settings"`

	raw      map[string]any // the file as it stands
	seed     uint64
	level    slog.Level
	operator *settings.Operator // the operators' own file
}

// Limits are the machine's.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Defaults for what may be left out.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64
	leastMemoryMB   = 32
	defaultConnIdle = 5 * time.Second
	defaultConnect  = 250 * time.Millisecond
)

// LoadConfig reads the file that $GW_CONFIG names; $GW_NAME, $GW_LISTEN, $GW_DISCOVERY, $GW_OPERATOR and $CEDARMAST_LOG
// stand in for keys that it lacks. $CEDARMAST_OPERATOR names the operators' own file, if there is one.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c, err := parseConfig(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.operator, err = settings.LoadOperator(getenv("CEDARMAST_OPERATOR")); err != nil {
		return nil, fmt.Errorf("CEDARMAST_OPERATOR: %w", err)
	}
	return c, nil
}

func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return nil, fmt.Errorf("%s: a %s can't stand here", wrong.Field, wrong.Value)
		}
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if err := json.Unmarshal(text, &c.raw); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	for _, key := range []struct {
		value *string
		env   string
	}{{&c.Name, "GW_NAME"}, {&c.Listen, "GW_LISTEN"}, {&c.Discovery, "GW_DISCOVERY"},
		{&c.Operators, "GW_OPERATOR"}, {&c.Log, "CEDARMAST_LOG"}} {
		if *key.value == "" {
			*key.value = getenv(key.env)
		}
	}
	c.fill()
	return &c, c.check()
}

func (c *Config) fill() {
	setDefault(&c.Limits.Cores, defaultCores)
	setDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	setDefault(&c.Limits.Sockets, defaultSockets)
	setDefault(&c.Seed, "0")
	setDefault(&c.Log, "info")
	if c.Known == nil {
		c.Known = &wire.Endpoints{Index: wire.Unknown}
	}
	if c.Settings != nil {
		setDefault(&c.Settings.Limits.ConnIdle, int64(defaultConnIdle))
		setDefault(&c.Settings.Limits.ConnectTimeout, int64(defaultConnect))
		setDefault(&c.Settings.Limits.StreamsPerConn, 1)
		setDefault(&c.Settings.FleetSize, 1)
	}
}

func setDefault[T comparable](value *T, to T) {
	var zero T
	if *value == zero {
		*value = to
	}
}

// check names the first key that is faulty.
func (c *Config) check() error {
	if c.Name == "" {
		return errors.New("name: missing, and GW_NAME is not set")
	}
	for _, key := range []struct{ name, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, err := netip.ParseAddrPort(key.value); err != nil {
			return fmt.Errorf("%s: %q is no address:port", key.name, key.value)
		}
	}
	for _, key := range []struct{ name, value string }{{"peer_listen", c.PeerListen}, {"operator", c.Operators}} {
		if key.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(key.value); err != nil {
			return fmt.Errorf("%s: %q is no address:port", key.name, key.value)
		}
	}
	for i, peer := range c.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			return fmt.Errorf("peers[%d]: %q is no address:port", i, peer)
		}
	}
	var err error
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", c.Seed)
	}
	if err := c.level.UnmarshalText([]byte(c.Log)); err != nil {
		return fmt.Errorf("log: %q is none of debug, info, warn, error", c.Log)
	}
	switch {
	case !(c.Limits.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not over 0", c.Limits.Cores)
	case c.Limits.MemoryMB < leastMemoryMB:
		return fmt.Errorf("limits.memory_mb: %d is under %d", c.Limits.MemoryMB, leastMemoryMB)
	case c.Limits.Sockets < leastSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", c.Limits.Sockets, leastSockets)
	}
	if err := c.Known.Check(); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	if c.Settings == nil {
		return errors.New("settings: missing")
	}
	if err := c.Settings.Check(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	return nil
}

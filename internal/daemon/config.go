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

// Config is a router's configuration file. This package alone parses it, validates it and fills in defaults.
type Config struct {
	Name       string            `json:"name"`
	Listen     string            `json:"listen"`
	Discovery  string            `json:"discovery"`
	Seed       string            `json:"seed"` // 64 bits, hexadecimal
	Limits     Limits            `json:"limits"`
	PeerListen string            `json:"peer_listen"` // UDP address for messages between routers; empty: none
	Peers      []string          `json:"peers"`
	Known      *wire.Endpoints   `json:"known"`
	Operators  string            `json:"operator"` // listen address of the operators' API; empty: disabled
	Log        string            `json:"log"`      // minimum level that is logged
	Settings   *settings.Profile `json:"settings"`

	raw          map[string]any // the parsed file, before defaults
	seed         uint64
	logLevel     slog.Level
	operatorFile *settings.Operator // from $CEDARMAST_OPERATOR
}

// Limits are the machine's resources that the router may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Defaults for keys that may be left out, and lower bounds.
const (
	defaultCores           = 1.0
	defaultMemoryMB        = 192
	defaultSockets         = 1024
	minSockets             = 64
	minMemoryMB            = 32
	defaultConnIdleTimeout = 5 * time.Second
	defaultConnectTimeout  = 250 * time.Millisecond
)

// LoadConfig reads the file that $GW_CONFIG names. $GW_NAME, $GW_LISTEN, $GW_DISCOVERY, $GW_OPERATOR and
// $CEDARMAST_LOG supply keys that the file lacks. $CEDARMAST_OPERATOR names the operators' file, which is optional.
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
	if c.operatorFile, err = settings.LoadOperator(getenv("CEDARMAST_OPERATOR")); err != nil {
		return nil, fmt.Errorf("CEDARMAST_OPERATOR: %w", err)
	}
	return c, nil
}

// parseConfig parses a configuration file, fills in defaults and validates the result.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return nil, fmt.Errorf("%s: unexpected JSON %s", typeError.Field, typeError.Value)
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
	c.applyDefaults()
	return &c, c.validate()
}

// applyDefaults sets the keys that were left out.
func (c *Config) applyDefaults() {
	setDefault(&c.Limits.Cores, defaultCores)
	setDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	setDefault(&c.Limits.Sockets, defaultSockets)
	setDefault(&c.Seed, "0")
	setDefault(&c.Log, "info")
	if c.Known == nil {
		c.Known = &wire.Endpoints{Index: wire.UnknownIndex}
	}
	if c.Settings != nil {
		setDefault(&c.Settings.Limits.ConnIdle, int64(defaultConnIdleTimeout))
		setDefault(&c.Settings.Limits.ConnectTimeout, int64(defaultConnectTimeout))
		setDefault(&c.Settings.Limits.StreamsPerConn, 1)
		setDefault(&c.Settings.FleetSize, 1)
	}
}

// setDefault sets a zero value to its default.
func setDefault[T comparable](value *T, to T) {
	var zero T
	if *value == zero {
		*value = to
	}
}

// validate returns an error that names the first invalid key. It also parses the seed and the log level.
func (c *Config) validate() error {
	if c.Name == "" {
		return errors.New("name: missing, and GW_NAME is not set")
	}
	for _, key := range []struct{ name, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, err := netip.ParseAddrPort(key.value); err != nil {
			return fmt.Errorf("%s: %q is not an address:port", key.name, key.value)
		}
	}
	for _, key := range []struct{ name, value string }{{"peer_listen", c.PeerListen}, {"operator", c.Operators}} {
		if key.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(key.value); err != nil {
			return fmt.Errorf("%s: %q is not an address:port", key.name, key.value)
		}
	}
	for i, peer := range c.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			return fmt.Errorf("peers[%d]: %q is not an address:port", i, peer)
		}
	}
	var err error
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", c.Seed)
	}
	if err := c.logLevel.UnmarshalText([]byte(c.Log)); err != nil {
		return fmt.Errorf("log: %q is not one of debug, info, warn, error", c.Log)
	}
	switch {
	case !(c.Limits.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not greater than 0", c.Limits.Cores)
	case c.Limits.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb: %d is less than %d", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is less than %d", c.Limits.Sockets, minSockets)
	}
	if err := c.Known.Validate(); err != nil {
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

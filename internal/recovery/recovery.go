// Package recovery restores a router after a restart: it decides which parts of the stored state are still valid and
// when the router has recovered. This file and machine.go have no I/O and no clock; store.go reads and writes files.
package recovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"cedarmast/internal/exchange"
	"cedarmast/internal/wire"
)

// State is what a router stores, with the time at which it was valid. docs/design/recovery.md lists the parts and how
// long each may be used.
type State struct {
	Saved       time.Time            `json:"saved"`
	Router      string               `json:"router"`    // name of the router
	Listen      string               `json:"listen"`    // its address for clients
	Discovery   string               `json:"discovery"` // address of the service that delivered the list
	Known       *wire.Endpoints      `json:"known"`     // last list delivered
	Maintenance exchange.Maintenance `json:"maintenance"`
	Answered    float64              `json:"answered"`        // responses of the caches, per second and unit of warm weight
	Facts       []byte               `json:"facts,omitempty"` // snapshot of the state that routers share, if sharing is on
}

// Version is the version of the format below. Any other is refused: a router without its state is slow for some
// seconds, but one that misreads it makes wrong decisions for longer.
const Version = 1

// MaxSize is the maximum size of a stored state in bytes; a list of many thousand servers fits.
const MaxSize = 16 << 20

const magic = "cedarmast state"

// Reasons for refusing a stored state.
var (
	ErrFormat    = errors.New("not a stored state")
	ErrTruncated = errors.New("file is truncated")
	ErrChecksum  = errors.New("checksum mismatch")
	ErrVersion   = errors.New("unsupported version")
	ErrRouter    = errors.New("state of another router")
	ErrFuture    = errors.New("saved in the future: the clock was set back")
)

// header is the first line of a stored state.
type header struct {
	Magic   string `json:"magic"`
	Version int    `json:"version"`
	Length  int    `json:"length"` // of the body, in bytes
	Sum     uint32 `json:"crc32c"` // of the body
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the state as a header line and a JSON body.
func Encode(s State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	head, err := json.Marshal(header{magic, Version, len(body), crc32.Checksum(body, castagnoli)})
	if err != nil {
		return nil, err
	}
	return append(append(head, '\n'), body...), nil
}

// Decode parses a state strictly. Its errors wrap the ones above; an invalid list is an ErrFormat.
func Decode(text []byte) (State, error) {
	line, body, whole := bytes.Cut(text, []byte("\n"))
	var h header
	switch err := decodeStrict(line, &h); {
	case len(text) > MaxSize || err != nil && whole:
		return State{}, ErrFormat
	case err != nil || !whole:
		return State{}, ErrTruncated
	case h.Magic != magic:
		return State{}, ErrFormat
	case h.Version != Version:
		return State{}, fmt.Errorf("%w: %d, not %d", ErrVersion, h.Version, Version)
	case len(body) < h.Length:
		return State{}, fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(body), h.Length)
	case len(body) > h.Length:
		return State{}, fmt.Errorf("%w: %d bytes, not %d", ErrFormat, len(body), h.Length)
	case crc32.Checksum(body, castagnoli) != h.Sum:
		return State{}, ErrChecksum
	}
	s := State{Maintenance: exchange.NewMaintenance()}
	if err := decodeStrict(body, &s); err != nil {
		return State{}, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if s.Known != nil {
		if err := s.Known.Validate(); err != nil {
			return State{}, fmt.Errorf("%w: %v", ErrFormat, err)
		}
	}
	if s.Maintenance.Out == nil || s.Maintenance.Back == nil || !(s.Answered >= 0) {
		return State{}, ErrFormat
	}
	return s, nil
}

// decodeStrict decodes one JSON value and rejects unknown fields and trailing data.
func decodeStrict(text []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	if d.More() {
		return ErrFormat
	}
	return nil
}

// RestoreOptions holds what a starting router's configuration says, against which Restore checks a stored state.
type RestoreOptions struct {
	Now         time.Time
	Router      string
	Listen      string
	Discovery   string
	Known       *wire.Endpoints // from the configuration
	MaxListAge  time.Duration   // maximum age of a stored list
	MaxCountAge time.Duration   // maximum age of Answered: until then the caches are as warm as they were
}

// Restored is the part of a stored state that was restored. Skipped holds the reasons for leaving out the rest.
type Restored struct {
	Known        *wire.Endpoints
	ListRestored bool // Known is the stored list
	Maintenance  exchange.Maintenance
	Answered     float64
	Age          time.Duration
	Skipped      []string
}

// maxClockSkew is how far in the future a stored time may be, since clocks are adjusted by small amounts.
const maxClockSkew = 2 * time.Second

// Restore decides which parts of a state a router restores. Maintenance orders are valid at any age. If the stored list
// is too old or of another discovery service, its drains are applied to the configured list: they hold until discovery
// or an operator says otherwise. Everything else expires by its age.
func Restore(s State, w RestoreOptions) (Restored, error) {
	t := Restored{Known: w.Known, Maintenance: exchange.NewMaintenance(), Age: w.Now.Sub(s.Saved)}
	switch {
	case s.Router != w.Router || s.Listen != w.Listen:
		return t, fmt.Errorf("%w: %s at %s", ErrRouter, s.Router, s.Listen)
	case t.Age < -maxClockSkew:
		return t, fmt.Errorf("%w by %v", ErrFuture, -t.Age)
	}
	t.Maintenance = s.Maintenance.Copy()
	skip := func(format string, args ...any) { t.Skipped = append(t.Skipped, fmt.Sprintf(format, args...)) }
	if t.Age <= w.MaxCountAge {
		t.Answered = s.Answered
	} else if s.Answered > 0 {
		skip("answer count: %v old", t.Age.Round(time.Second))
	}
	switch {
	case s.Known == nil || len(s.Known.Endpoints) == 0:
	case s.Discovery != w.Discovery:
		skip("list: from the discovery service at %s", s.Discovery)
		t.Known = withDrains(w.Known, s.Known)
	case t.Age > w.MaxListAge:
		skip("list: %v old", t.Age.Round(time.Second))
		t.Known = withDrains(w.Known, s.Known)
	case w.Known != nil && w.Known.Index > s.Known.Index:
		skip("list: index %d, but the configuration has %d", s.Known.Index, w.Known.Index)
	default:
		t.Known, t.ListRestored = s.Known, true
	}
	return t, nil
}

// withDrains returns a copy of the list in which servers that drain in drainsFrom drain as well.
func withDrains(list, drainsFrom *wire.Endpoints) *wire.Endpoints {
	if list == nil {
		return nil
	}
	draining := map[string]bool{}
	for _, e := range drainsFrom.Endpoints {
		if e.Status == "DRAINING" {
			draining[e.Name+" "+e.Address] = true
		}
	}
	merged := *list
	merged.Endpoints = append(merged.Endpoints[:0:0], list.Endpoints...)
	for i, e := range merged.Endpoints {
		if e.Status == "SERVING" && draining[e.Name+" "+e.Address] {
			merged.Endpoints[i].Status = "DRAINING"
		}
	}
	return &merged
}

// Package migrate converts a router's configuration from the old deployment shape (a pool of routers that exchange
// messages, one request at a time on a connection) to the new one (one router in each client process, which receives no
// messages from others, and connections that carry many requests at once). It does no file I/O.
package migrate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	settingsfile "cedarmast/internal/settings"
)

// Target describes the new deployment, as far as it does not follow from the old configuration.
type Target struct {
	Routers  int           // number of client processes, each with its own router
	Number   int           // index of this router, from 0
	Name     string        // name of this router; empty keeps the old one
	Listen   string        // address:port; empty keeps the old one
	Zone     string        // zone of this router; empty keeps the old one
	Zones    []string      // zones of the deployment; known servers in other zones are dropped. Empty keeps all
	Streams  int           // maximum concurrent requests on a connection
	ConnIdle time.Duration // time after which servers close an idle connection; 0 keeps the old setting
}

// Note describes what was done with a key: how its value was changed, or why it was dropped.
type Note struct {
	Key     string
	Text    string
	Dropped bool // the new shape has no counterpart for the old value
}

type object = map[string]any

// Convert converts a configuration and returns it, indented, with notes on what was changed and dropped, sorted by key.
// Unknown keys are kept as they are, with numbers unchanged to the digit. A duplicate key in an object, malformed JSON (reported
// with its line) and a configuration that already has the new shape are errors.
func Convert(text []byte, to Target) ([]byte, []Note, error) {
	switch {
	case to.Routers < 1:
		return nil, nil, fmt.Errorf("routers: %d is less than 1", to.Routers)
	case to.Number < 0 || to.Number >= to.Routers:
		return nil, nil, fmt.Errorf("number: %d is outside the range of %d routers", to.Number, to.Routers)
	case to.Streams < 1:
		return nil, nil, fmt.Errorf("streams: %d is less than 1", to.Streams)
	case to.ConnIdle < 0:
		return nil, nil, fmt.Errorf("idle: %v is negative", to.ConnIdle)
	case to.Zone != "" && len(to.Zones) > 0 && !slices.Contains(to.Zones, to.Zone):
		return nil, nil, fmt.Errorf("zone: %q is not one of %s", to.Zone, strings.Join(to.Zones, ", "))
	}
	config, err := decodeObject(text)
	if err != nil {
		return nil, nil, err
	}
	settings, ok := config["settings"].(object)
	if !ok {
		return nil, nil, errors.New("settings: missing, or not an object")
	}
	c := converter{to: to}
	c.convertTopLevel(config)
	if err := c.convertSettings(settings); err != nil {
		return nil, nil, err
	}
	for _, key := range settingsfile.UnknownKeys(settings) {
		c.notes = append(c.notes, Note{"settings." + key, "carried as it is; no router reads it", false})
	}
	slices.SortStableFunc(c.notes, func(a, b Note) int { return strings.Compare(a.Key, b.Key) })
	encoded, err := json.MarshalIndent(config, "", "  ")
	return append(encoded, '\n'), c.notes, err
}

// decodeObject decodes a JSON object token by token to detect duplicate keys: json.Unmarshal silently keeps the last one.
func decodeObject(text []byte) (object, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	line := func() int { return 1 + bytes.Count(text[:min(d.InputOffset(), int64(len(text)))], []byte("\n")) }
	var value func(path string) (any, error)
	value = func(path string) (any, error) {
		token, err := d.Token()
		switch token {
		case json.Delim('['):
			all := []any{}
			for d.More() {
				v, err := value(fmt.Sprintf("%s[%d]", path, len(all)))
				if err != nil {
					return nil, err
				}
				all = append(all, v)
			}
			_, err = d.Token()
			return all, err
		case json.Delim('{'):
			all := object{}
			for d.More() {
				key, err := d.Token()
				if err != nil {
					return nil, err
				}
				name := key.(string) // the decoder accepts only a string here
				at := strings.TrimPrefix(path+"."+name, ".")
				if _, twice := all[name]; twice {
					return nil, fmt.Errorf("%s: duplicate key", at)
				}
				if all[name], err = value(at); err != nil {
					return nil, err
				}
			}
			_, err = d.Token()
			return all, err
		}
		return token, err
	}
	v, err := value("")
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", line(), err)
	}
	config, ok := v.(object)
	if _, more := d.Token(); !ok || more != io.EOF {
		return nil, fmt.Errorf("line %d: not a single JSON object", line())
	}
	return config, nil
}

// converter converts one configuration for a Target and collects notes.
type converter struct {
	to    Target
	notes []Note
}

// noteLost notes that the value of a key has no counterpart.
func (c *converter) noteLost(key, reason string) { c.notes = append(c.notes, Note{key, reason, true}) }

// replace sets a key to a value, and notes it if the key is new or the value differs.
func (c *converter) replace(in object, path, key string, value any) {
	previous, present := in[key]
	in[key] = value
	if old := fmt.Sprint(previous); !present {
		c.notes = append(c.notes, Note{path + key, fmt.Sprintf("set to %v", value), false})
	} else if old != fmt.Sprint(value) {
		c.notes = append(c.notes, Note{path + key, fmt.Sprintf("%s becomes %v", old, value), false})
	}
}

// convertTopLevel converts all keys outside of "settings".
func (c *converter) convertTopLevel(config object) {
	for key, reason := range map[string]string{"peer_listen": "routers no longer exchange messages",
		"peers": "routers no longer exchange messages"} {
		if value, present := config[key]; present {
			delete(config, key)
			if fmt.Sprint(value) != "" && fmt.Sprint(value) != "[]" {
				c.noteLost(key, fmt.Sprintf("%v: %s", value, reason))
			}
		}
	}
	if c.to.Name != "" {
		c.replace(config, "", "name", c.to.Name)
	}
	if c.to.Listen != "" {
		c.replace(config, "", "listen", c.to.Listen)
	}
	known, _ := config["known"].(object)
	all, _ := known["endpoints"].([]any)
	if len(c.to.Zones) == 0 || len(all) == 0 {
		return
	}
	kept := []any{}
	for _, e := range all {
		entry, _ := e.(object)
		if zone := fmt.Sprint(entry["zone"]); slices.Contains(c.to.Zones, zone) {
			kept = append(kept, e)
		} else {
			c.noteLost("known.endpoints", fmt.Sprintf("server %v: its zone %s is not part of the new deployment", entry["name"], zone))
		}
	}
	known["endpoints"] = kept
}

// convertSettings converts the object "settings".
func (c *converter) convertSettings(settings object) error {
	const path = "settings."
	if zone := fmt.Sprint(settings["Zone"]); c.to.Zone == "" && len(c.to.Zones) > 0 && !slices.Contains(c.to.Zones, zone) {
		return fmt.Errorf("zone: the old one, %q, is not one of %s; set the zone of this router", zone, strings.Join(c.to.Zones, ", "))
	}
	if c.to.Zone != "" {
		c.replace(settings, path, "Zone", c.to.Zone)
	}
	c.replace(settings, path, "FleetSize", c.to.Routers)
	c.replace(settings, path, "MyNumber", c.to.Number)
	limits, ok := settings["Limits"].(object)
	if !ok {
		if settings["Limits"] != nil {
			return errors.New("settings.Limits: not an object")
		}
		limits = object{}
		settings["Limits"] = limits
	}
	if streams := fmt.Sprint(limits["StreamsPerConn"]); limits["PeerMessages"] == false && limits["StreamsPerConn"] != nil && streams != "1" {
		return fmt.Errorf("settings.Limits.StreamsPerConn: %s, and PeerMessages is false: the configuration has the new shape already", streams)
	}
	if family, _ := settings["FamilyInfo"].(object); family["Mode"] == "aside" {
		c.noteLost(path+"FamilyInfo.Mode",
			"aside: it is not specified how a router asks the origin; the value is kept but this mode is not served")
	}
	if limits["PeerMessages"] == true {
		c.noteLost(path+"Limits.PeerMessages", "true: routers no longer exchange messages")
	}
	limits["PeerMessages"] = false
	c.replace(limits, path+"Limits.", "StreamsPerConn", c.to.Streams)
	if c.to.ConnIdle > 0 {
		c.replace(limits, path+"Limits.", "ConnIdle", c.to.ConnIdle.Nanoseconds())
	}
	return nil
}

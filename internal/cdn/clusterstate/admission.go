package clusterstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// This file decides which configurations may enter the log. Applying the log is more lenient than that: the reader joins tokens that white
// space separates, and earlier versions of the programs admitted such texts. What the log holds must be applied alike by all versions, so
// the strict check stands in front of the log and not behind it.

var errNotUTF8 = errors.New("not readable whole: not UTF-8")

// CheckText returns an error unless a configuration's text is one JSON document in UTF-8 that every parser reads alike: as a whole or parcel
// by parcel. The names of the document's members must differ, whatever their case.
func CheckText(body []byte) error {
	if !utf8.Valid(body) {
		return errNotUTF8
	}
	if !json.Valid(body) {
		return unmarshalBody(body, new(json.RawMessage))
	}
	document, byParcel := withoutParcels(body)
	names, err := memberNames(document)
	switch {
	case err != nil:
		return err
	case byParcel && names[len(names)-1] != parcelsName:
		return fmt.Errorf("not readable whole: %.20q instead of %q", names[len(names)-1], parcelsName)
	}
	for i, name := range names {
		for _, other := range names[:i] {
			if strings.EqualFold(name, other) {
				return fmt.Errorf("not readable whole: %.20q occurs twice", name)
			}
		}
	}
	return nil
}

// withoutParcels returns a configuration's document with an empty list of parcels; the reader then parses the parcels one by one. If the
// reader parses it as a whole, the result is the whole document, and byParcel is false.
func withoutParcels(body []byte) (document []byte, byParcel bool) {
	texts := splitParcels(stripSpace(body))
	if len(texts) < 2 || !bytes.HasSuffix(texts[0], parcelsOpen) {
		return body, false
	}
	document = append(bytes.Clone(texts[0]), parcelsClose...)
	if !json.Valid(document) { // the list is not a member of the document itself
		return body, false
	}
	return document, true
}

// memberNames returns the names of the members of a JSON object, in order.
func memberNames(document []byte) (names []string, err error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		return nil, errors.New("not readable whole: not an object")
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, fmt.Errorf("not readable whole: %w", err)
		}
		if err := decoder.Decode(new(json.RawMessage)); err != nil {
			return nil, fmt.Errorf("not readable whole: %w", err)
		}
		names = append(names, name.(string))
	}
	return names, nil
}

// Bounds of what commands add to the state and to the log.
const (
	maxPurgeHostBytes = 1 << 10
	maxPurgePathBytes = 16 << 10
	maxPurgeTagBytes  = 4 << 10
	maxRouters        = 4096
)

// CheckPurge returns an error if a purge names what no client can request. The log takes it, for earlier versions admitted it.
func CheckPurge(p Purge) error {
	if len(p.Host) > maxPurgeHostBytes || len(p.Path) > maxPurgePathBytes || len(p.Tag) > maxPurgeTagBytes {
		return errors.New("domain, path or tag: too long")
	}
	return nil
}

// checkBounds returns an error if a command that carries no configuration would add more to the state than it may hold: a server beyond
// maxServers, or texts that are too long.
func (h *History) checkBounds(c Command, maxServers int) error {
	if c.Server != nil {
		if _, listed := h.State.Servers[c.Server.ID]; !listed && maxServers > 0 && len(h.State.Servers) >= maxServers {
			return fmt.Errorf("more than %d servers", maxServers)
		}
		return CheckServer(*c.Server)
	}
	if max(len(c.Leave), len(c.Lost), len(c.Absent), len(c.Appoint)) > maxNameBytes {
		return errors.New("a name that is too long")
	}
	if len(c.Enrol) > 0 && len(c.Enrol)+len(h.State.Routers) > 2*maxRouters {
		return fmt.Errorf("more than %d cache routers", maxRouters)
	}
	for _, r := range c.Enrol {
		if err := CheckRouter(r); err != nil {
			return err
		}
	}
	return nil
}

// CheckProposal returns an error if a command must not enter the log: it carries a configuration whose text fails CheckText, or a delta
// that does not apply to its base, or would add more to the state than it may hold. A delta on another base than the version in force is
// left to the log, which refuses it. maxServers bounds the servers; 0: they are not bounded here.
func (h *History) CheckProposal(c Command, maxServers int) error {
	if err := h.checkBounds(c, maxServers); err != nil {
		return err
	}
	body := []byte(c.Put)
	if c.Change != nil {
		if c.Change.Base != h.State.Version {
			return nil
		}
		patched, err := c.Change.Patch(h.State.Version, h.State.Body)
		if err != nil {
			return err
		}
		body = patched
	} else if c.Put == nil {
		return nil
	}
	return h.checkText(body)
}

// checkText is CheckText, except that it admits a repeat of the text in force, whatever that is: it must not be refused while it is in force.
func (h *History) checkText(body []byte) error {
	if bytes.Equal(body, h.State.Body) {
		return nil
	}
	return CheckText(body)
}

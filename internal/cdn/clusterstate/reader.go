package clusterstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
)

// This file parses configurations incrementally. A body is split in front of each parcel, and a parcel whose text occurred in the
// configuration before is not parsed again. A body of another form than the usual one is parsed as a whole. Every text that CheckText admits
// has the same result either way; of others, the reader accepts some that ParseManifest refuses. It must continue to do so: logs hold them.

const parcelsName = "parcels" // the member of a configuration that lists its parcels

var (
	parcelsOpen  = []byte(`"` + parcelsName + `":[`)
	parcelsClose = []byte(`]}`)
	parcelsComma = []byte(`,`)
)

// reader parses successive configurations and reuses what has not changed. Its zero value is ready for use.
type reader struct {
	parsed map[string]*parsedParcel // the parcels of the configuration that was parsed last, by text
}

// parsedParcel is a parsed parcel. One of route, service and tenant is set, or none if the parcel is of another kind.
type parsedParcel struct {
	sum     [32]byte   // SHA-256 of the text
	parcel  wireParcel // used if none of the fields below is set
	route   *Route
	service *Service
	tenant  *Tenant
}

// read parses and validates a configuration, and returns it with its digest.
func (r *reader) read(body []byte) (*Manifest, [32]byte, error) {
	texts := splitParcels(stripSpace(body))
	if m, sum, ok := r.readParcels(texts); ok {
		return m, sum, m.validate()
	}
	m, err := ParseManifest(body)
	return m, digestParcels(texts), err
}

// ReadManifest parses the body of a State, with the result that it had when the configuration was applied.
func ReadManifest(body []byte) (*Manifest, error) {
	m, _, err := new(reader).read(body)
	return m, err
}

// readParcels parses a body of the usual form, reusing cached parcels; ok is false if the body is of another form or invalid.
func (r *reader) readParcels(texts [][]byte) (m *Manifest, digest [32]byte, ok bool) {
	if len(texts) < 2 || !bytes.HasSuffix(texts[0], parcelsOpen) {
		return nil, digest, false
	}
	m, ok = readHead(texts[0])
	if !ok {
		return nil, digest, false
	}
	parsed, sums := make(map[string]*parsedParcel, len(texts)), sha256.New()
	head := sha256.Sum256(texts[0])
	sums.Write(head[:])
	for i, text := range texts[1:] {
		end := parcelsComma
		if i == len(texts)-2 {
			end = parcelsClose
		}
		p := r.parsed[string(text)]
		if p == nil {
			if p, ok = readParcel(text, end); !ok {
				return nil, digest, false
			}
		}
		parsed[string(text)] = p
		sums.Write(p.sum[:])
		if err := m.addParsed(p); err != nil || !bytes.HasSuffix(text, end) {
			return nil, digest, false
		}
	}
	r.parsed = parsed
	return m, [32]byte(sums.Sum(nil)), true
}

// readHead parses what comes before the first parcel: the beginning of an object whose last field is the list of parcels.
func readHead(text []byte) (*Manifest, bool) {
	var w wireManifest
	if json.Unmarshal(append(bytes.Clone(text), parcelsClose...), &w) != nil || len(w.Parcels) > 0 {
		return nil, false
	}
	edition, base, err := parseVersions(w.Edition, w.BasedOn)
	if err != nil {
		return nil, false
	}
	return newManifest(edition, base), true
}

// readParcel parses the text of one parcel, which ends with the separator end.
func readParcel(text, end []byte) (*parsedParcel, bool) {
	object, ok := bytes.CutSuffix(text, end)
	p := &parsedParcel{sum: sha256.Sum256(text)}
	if !ok || json.Unmarshal(object, &p.parcel) != nil {
		return nil, false
	}
	var single Manifest
	if single.addParcel(p.parcel) != nil {
		return nil, false
	}
	if len(single.Routes) > 0 {
		p.route = &single.Routes[0]
	}
	if len(single.Services) > 0 {
		p.service = &single.Services[0]
	}
	if len(single.Tenants) > 0 {
		p.tenant = &single.Tenants[0]
	}
	return p, true
}

// addParsed adds a parsed parcel to the manifest.
func (m *Manifest) addParsed(p *parsedParcel) error {
	switch {
	case p.route != nil:
		m.Routes = append(m.Routes, *p.route)
	case p.service != nil:
		m.Services = append(m.Services, *p.service)
	case p.tenant != nil:
		m.Tenants = append(m.Tenants, *p.tenant)
	default:
		return m.addParcel(p.parcel)
	}
	return nil
}

// Digest returns a hash of a configuration's body that does not depend on the white space between JSON tokens.
func Digest(body []byte) [32]byte { return digestParcels(splitParcels(stripSpace(body))) }

// digestParcels returns the SHA-256 of the concatenated SHA-256 hashes of the parts of a body.
func digestParcels(texts [][]byte) [32]byte {
	sums := sha256.New()
	for _, text := range texts {
		sum := sha256.Sum256(text)
		sums.Write(sum[:])
	}
	return [32]byte(sums.Sum(nil))
}

// stripSpace returns a JSON text without the white space between its tokens; the text itself, not a copy, if it contains none.
func stripSpace(body []byte) []byte {
	if !bytes.ContainsAny(body, " \t\r\n") {
		return body
	}
	out := make([]byte, 0, len(body))
	quoted, escaped := false, false
	for _, c := range body {
		switch {
		case escaped:
			escaped = false
		case quoted && c == '\\':
			escaped = true
		case c == '"':
			quoted = !quoted
		case !quoted && (c == ' ' || c == '\t' || c == '\r' || c == '\n'):
			continue
		}
		out = append(out, c)
	}
	return out
}

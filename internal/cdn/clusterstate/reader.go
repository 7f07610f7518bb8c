package clusterstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
)

// This file reads a configuration by what has changed since the one before it. A body is cut in front of each parcel; a
// parcel whose text was read before is not read again. What is not of the usual form is read whole, with the same result.

var (
	parcelsOpen  = []byte(`"parcels":[`)
	parcelsClose = []byte(`]}`)
	parcelsComma = []byte(`,`)
)

// reader reads configurations one after the other. Its zero value is ready.
type reader struct {
	known map[string]*parcelRead // by text: those of the configuration that was read last
}

// parcelRead is what a parcel says, and its text's checksum.
type parcelRead struct {
	sum     [32]byte
	parcel  wireParcel // of a kind that is neither of those below
	route   *Route
	service *Service
	tenant  *Tenant
}

// read reads and checks a configuration, and returns its digest as well.
func (r *reader) read(body []byte) (*Manifest, [32]byte, error) {
	texts := parcels(withoutSpace(body))
	if m, sum, ok := r.readParcels(texts); ok {
		return m, sum, m.check()
	}
	m, err := ParseManifest(body)
	return m, digestOf(texts), err
}

// readParcels reads a body of the usual form; ok tells whether it is one.
func (r *reader) readParcels(texts [][]byte) (m *Manifest, digest [32]byte, ok bool) {
	if len(texts) < 2 || !bytes.HasSuffix(texts[0], parcelsOpen) {
		return nil, digest, false
	}
	m, ok = readHead(texts[0])
	if !ok {
		return nil, digest, false
	}
	known, sums := make(map[string]*parcelRead, len(texts)), sha256.New()
	head := sha256.Sum256(texts[0])
	sums.Write(head[:])
	for i, text := range texts[1:] {
		end := parcelsComma
		if i == len(texts)-2 {
			end = parcelsClose
		}
		p := r.known[string(text)]
		if p == nil {
			if p, ok = readParcel(text, end); !ok {
				return nil, digest, false
			}
		}
		known[string(text)] = p
		sums.Write(p.sum[:])
		if err := m.take(p); err != nil || !bytes.HasSuffix(text, end) {
			return nil, digest, false
		}
	}
	r.known = known
	return m, [32]byte(sums.Sum(nil)), true
}

// readHead reads what stands before the first parcel: an object whose last field is the list that begins there.
func readHead(text []byte) (*Manifest, bool) {
	var w wireManifest
	if json.Unmarshal(append(bytes.Clone(text), parcelsClose...), &w) != nil || len(w.Parcels) > 0 {
		return nil, false
	}
	edition, base, err := editions(w.Edition, w.BasedOn)
	if err != nil {
		return nil, false
	}
	return newManifest(edition, base), true
}

// readParcel reads one parcel and what ends it.
func readParcel(text, end []byte) (*parcelRead, bool) {
	object, ok := bytes.CutSuffix(text, end)
	p := &parcelRead{sum: sha256.Sum256(text)}
	if !ok || json.Unmarshal(object, &p.parcel) != nil {
		return nil, false
	}
	var one Manifest
	if one.takeParcel(p.parcel) != nil {
		return nil, false
	}
	if len(one.Routes) > 0 {
		p.route = &one.Routes[0]
	}
	if len(one.Services) > 0 {
		p.service = &one.Services[0]
	}
	if len(one.Tenants) > 0 {
		p.tenant = &one.Tenants[0]
	}
	return p, true
}

// take adds what a parcel says.
func (m *Manifest) take(p *parcelRead) error {
	switch {
	case p.route != nil:
		m.Routes = append(m.Routes, *p.route)
	case p.service != nil:
		m.Services = append(m.Services, *p.service)
	case p.tenant != nil:
		m.Tenants = append(m.Tenants, *p.tenant)
	default:
		return m.takeParcel(p.parcel)
	}
	return nil
}

// Digest is what two bodies share that say the same to the letter, but for spaces between.
func Digest(body []byte) [32]byte { return digestOf(parcels(withoutSpace(body))) }

func digestOf(texts [][]byte) [32]byte {
	sums := sha256.New()
	for _, text := range texts {
		sum := sha256.Sum256(text)
		sums.Write(sum[:])
	}
	return [32]byte(sums.Sum(nil))
}

// withoutSpace returns a text of JSON without the spaces between its tokens; the text itself if it has none.
func withoutSpace(body []byte) []byte {
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

package localnet

import "time"

// timetable writes the spans of the operators' rules that the shape names.
func (s Shape) timetable(line func(key string, value any)) {
	name := func(key string, span time.Duration) {
		if span > 0 {
			line("tariff.timetable."+key, span.String())
		}
	}
	if s.Revoke > 0 {
		line("tariff.timetable.revocation_global", true)
	}
	name("revoke", s.Revoke)
	name("contact", s.Contact)
}

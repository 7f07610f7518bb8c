package localnet

import "time"

// writeTimings writes those time limits to the settings that the shape sets.
func (s Shape) writeTimings(writeLine func(key string, value any)) {
	writeDuration := func(key string, span time.Duration) {
		if span > 0 {
			writeLine("tariff.timetable."+key, span.String())
		}
	}
	if s.Revoke > 0 {
		writeLine("tariff.timetable.revocation_global", true)
	}
	writeDuration("revoke", s.Revoke)
	writeDuration("contact", s.Contact)
}

package migrate

import (
	"strings"
	"testing"
	"time"
)

const oldConfig = `{"peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7947"],
 "known":{"endpoints":[{"name":"a","zone":"north"},{"name":"b","zone":"west"}]},
 "settings":{"FleetSize":3,"Zone":"north","Big":12345678901234567890,"FamilyInfo":{"Mode":"aside"},"Limits":{"PeerMessages":true}}}`

func TestMoveKeepsUnknownKeysAndReportsLosses(t *testing.T) {
	text, notes, err := Convert([]byte(oldConfig), Target{Routers: 80, Number: 17,
		Zones: []string{"north", "south"}, Streams: 100, ConnIdle: time.Minute})
	lost := ""
	for _, n := range notes {
		if n.Dropped {
			lost += n.Key + " "
		}
	}
	if err != nil || lost != "known.endpoints peer_listen peers settings.FamilyInfo.Mode settings.Limits.PeerMessages " {
		t.Errorf("%v, dropped: %s", err, lost)
	}
	if got := strings.Join(strings.Fields(string(text)), ""); got != `{"known":{"endpoints":[{"name":"a","zone":"north"}]},"settings":{"Big":`+
		`12345678901234567890,"FamilyInfo":{"Mode":"aside"},"FleetSize":80,"Limits":{"ConnIdle":60000000000,"PeerMessages":false,`+
		`"StreamsPerConn":100},"MyNumber":17,"Zone":"north"}}` {
		t.Errorf("converted to %s", got)
	}
}

// Invalid or missing input is an error that names it; nothing is guessed.
func TestMoveRejectsInvalidInput(t *testing.T) {
	for want, c := range map[string]struct {
		text  string
		shape Target
	}{
		"number: 2":                        {oldConfig, Target{Routers: 2, Number: 2, Streams: 1}},
		"streams: 0":                       {oldConfig, Target{Routers: 2}},
		`zone: the old one, "north"`:       {oldConfig, Target{Routers: 2, Streams: 1, Zones: []string{"south"}}},
		"line 3":                           {"{\n\"a\":1,\n}", Target{Routers: 2, Streams: 1}},
		"line 1: not a single JSON object": {"{} {}", Target{Routers: 2, Streams: 1}},
		"a[0].b: duplicate key":            {`{"a":[{"b":1,"b":2}]}`, Target{Routers: 2, Streams: 1}},
	} {
		if _, _, err := Convert([]byte(c.text), c.shape); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %q", c.text, err, want)
		}
	}
}

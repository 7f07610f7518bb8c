package settings

import (
	"encoding/json"
	"reflect"
	"testing"
)

func parseObject(t *testing.T, text string) map[string]any {
	t.Helper()
	var v map[string]any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// A file that lacks a key is rejected by the key's name, at any depth; each class needs the keys that all classes had.
func TestMissingKeys(t *testing.T) {
	was := `{"name":"n","known":{"index":1},"settings":{"Limits":{"SendCap":3,"Deep":{"x":1}},
		"Classes":[{"Name":"a","Deadline":1,"MemorySpan":5},{"Name":"b","Deadline":1}],"Flavors":["x"]}}`
	for _, c := range []struct{ now, want string }{
		{was, ""},
		{`{"name":"n","settings":{"Limits":{"SendCap":3,"Deep":{"x":1}},"Classes":[{"Name":"c","Deadline":1}],"Flavors":[]}}`, ""},
		{`{}`, "name"},
		{`{"name":"n"}`, "settings"},
		{`{"name":"n","settings":{"Classes":[],"Flavors":[]}}`, "settings.Limits"},
		{`{"name":"n","settings":{"Limits":{"SendCap":3},"Classes":[],"Flavors":[]}}`, "settings.Limits.Deep"},
		{`{"name":"n","settings":{"Limits":{"SendCap":3,"Deep":7},"Classes":[],"Flavors":[]}}`, "settings.Limits.Deep.x"},
		{`{"name":"n","settings":{"Limits":{"SendCap":3,"Deep":{"x":1}},"Classes":[{"Name":"a","Deadline":1},{"Name":"b"}],"Flavors":[]}}`,
			"settings.Classes[1].Deadline"},
	} {
		if got := MissingKey(parseObject(t, was), parseObject(t, c.now), "known"); got != c.want {
			t.Errorf("%s: %q, want %q", c.now, got, c.want)
		}
	}
}

// A running router applies new classes and limits; keys of its place in the fleet and of its sockets need a restart
// and are named.
func TestRetunedKeepsRestartKeys(t *testing.T) {
	read := func(text string) *Profile {
		var p Profile
		if err := json.Unmarshal([]byte(text), &p); err != nil {
			t.Fatal(err)
		}
		return &p
	}
	was := read(`{"FleetSize":3,"MyNumber":1,"Zone":"z","Limits":{"SendCap":4,"PeerMessages":true},"Classes":[{"Name":"a"}]}`)
	now := read(`{"FleetSize":5,"MyNumber":2,"Zone":"y","Limits":{"SendCap":2,"PeerMessages":false},"Classes":[{"Name":"b"}]}`)
	got, wait := was.MergeReloadable(now)
	if !reflect.DeepEqual(wait, []string{"MyNumber", "Zone", "Limits.PeerMessages"}) {
		t.Errorf("%q need a restart", wait)
	}
	if got.MyNumber != 1 || got.Zone != "z" || !got.Limits.PeerMessages || got.FleetSize != 5 || got.Limits.SendCap != 2 || !got.HasClass("b") || got.HasClass("a") {
		t.Errorf("%+v", got)
	}
	if now.MyNumber != 2 {
		t.Error("the new settings were changed")
	}
}

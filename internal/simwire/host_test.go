package simwire

import (
	"fmt"
	"strings"
	"testing"
)

const start = `{"m":"Start","I":3,"Seed":9,"ProfileData":{"FleetSize":1,"Flavors":["box"],` +
	`"Classes":[{"Name":"read","Objective":500000000,"Deadline":2000000000,"Effect":"safe","Worth":1}],` +
	`"FamilyInfo":{"Mode":"through","OriginKind":-1},"Limits":{"SendCap":3}}}`

const list = `{"m":"Announce","I":3,"Mode":"Persisted","Gen":1,` +
	`"Members":[{"Hw":"box","PowerHint":1,"Server":"10.0.0.1:5","Locality":"z","Status":"U"}]}`

func call(id string) string {
	return fmt.Sprintf(`{"m":"Call","I":3,"Corr":"%s","TierClass":"read","NameKey":7,"Due":2000000005,"Extra":[1]}`, id)
}

func batch(n int, events ...string) string {
	head := fmt.Sprintf(`{"m":"Frame","T":%d,"n":%d}`, n*5, n)
	return strings.Join(append(append([]string{head}, events...), `{"m":"Flush"}`), "\n") + "\n"
}

func run(t *testing.T, input string) string {
	t.Helper()
	var out strings.Builder
	if err := Run(strings.NewReader(input), &out, nil); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestEmptyBatch(t *testing.T) {
	if got := run(t, batch(1)); got != `{"m":"Yield","n":1}`+"\n" {
		t.Errorf("got %q", got)
	}
}

func TestRequestIsIssuedAndEnds(t *testing.T) {
	got := run(t, batch(1, start, list)+batch(2, call("aa"))+
		batch(3, `{"m":"Reply","I":3,"Corr":"aa","Ending":"dropped","Hop":0,"Server":"10.0.0.1:5","Feedback":{"odd":1}}`))
	for _, want := range []string{
		`{"m":"Issue","I":3,"Corr":"aa","Server":"10.0.0.1:5"}`, `{"m":"OverloadReply","I":3,"Corr":"aa"`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no %s in\n%s", want, got)
		}
	}
}

// With a stop and a start in one batch, the new instance must not know the old one's requests.
func TestStopAndStartInOneBatch(t *testing.T) {
	got := run(t, batch(1, start, list)+batch(2, call("aa"), `{"m":"Shutdown","I":3}`, start, list, call("bb")))
	if strings.Contains(got, `"aa"`) || !strings.Contains(got, `"Issue","I":3,"Corr":"bb"`) {
		t.Errorf("got %s", got)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	input := batch(1, start, list)
	for i := range 50 {
		input += batch(i+2, call(fmt.Sprint(i)), call(fmt.Sprint("x", i)))
	}
	if a, b := run(t, input), run(t, input); a != b {
		t.Error("the same events gave different actions")
	}
}

func TestVeryLongLines(t *testing.T) {
	long := strings.Replace(call("aa"), `[1]`, `"`+strings.Repeat("x", 4<<20)+`"`, 1)
	if got := run(t, batch(1, start, list, long)); !strings.Contains(got, `"Issue"`) {
		t.Error("a line of several megabytes was not handled")
	}
}

func TestInvalidInputErrors(t *testing.T) {
	for _, c := range []struct{ name, input, want string }{
		{"malformed", "{\"m\":\n", "line 1: malformed"},
		{"unknown message", batch(1, start, `{"m":"Nonsense","I":3}`), `line 3: unknown message "Nonsense"`},
		{"outside a batch", `{"m":"Flush"}`, "line 1: message \"Flush\" outside"},
		{"frame in a frame", `{"m":"Frame","T":1,"n":1}` + "\n" + `{"m":"Frame","T":1,"n":2}`, "line 2: Frame 2 inside"},
		{"out of order", batch(2) + `{"m":"Frame","T":11,"n":2}`, "line 3: Frame 2 out of order"},
		{"back in time", batch(2) + `{"m":"Frame","T":1,"n":3}`, "line 3: Frame 3 goes back in time"},
		{"no instance", batch(1, `{"m":"Bell","Ref":1}`), `line 2: message "Bell" names no instance`},
		{"not started", batch(1, `{"m":"Bell","I":1,"Ref":1}`), "line 2: message \"Bell\" for instance 1, which has not"},
		{"cut off", `{"m":"Frame","T":1,"n":1}`, "input ends inside batch 1"},
		{"unknown list mode", batch(1, start, `{"m":"Announce","I":3,"Mode":"X"}`), `line 3: unknown list mode "X"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := Run(strings.NewReader(c.input), &out, nil)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want %q", err, c.want)
			}
		})
	}
}

package scenario

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const validFile = `name = "x"
rate = 10
[[site]]
name = "a"
nodes = 2
routers = 1
[[model]]
name = "m"
[[class]]
name = "read"
[[tenant]]
name = "t"
`

// TestFaultsNameFileLineAndKey checks that every kind of error in a file is one line with file, line and key.
func TestFaultsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ from, to, says string }{
		{"rate = 10", "rate = 10\nspeed = 3", "f.toml:3: speed: unknown key"},
		{"rate = 10", "rate = -10", "f.toml:2: rate: -10 is under 0.1"},
		{"rate = 10", "rate = \"ten\"", "f.toml:2: rate: a number belongs here"},
		{"rate = 10", "rate = 10\nlength = 5", "f.toml:3: length: a span of time"},
		{"rate = 10", "rate = 10\nlength = \"5 parsecs\"", "f.toml:3: length: \"5 parsecs\" is no span"},
		{"rate = 10", "rate = 10\nlength = \"100h\"", "f.toml:3: length: 100h0m0s is over 2h0m0s"},
		{"rate = 10", "rate = = 10", "f.toml:2: "},
		{"nodes = 2", "nodes = 2\nshare = -0.5", "f.toml:6: site[0].share: -0.5 is under 0"},
		{"nodes = 2", "nodes = 2.5", "f.toml:5: site[0].nodes: a whole number"},
		{"nodes = 2", "nodes = 0", "f.toml:3: site: no site has a node"},
		{"[[model]]", "[[site]]\nname = \"a\"\n[[model]]", "f.toml:8: site[1].name: \"a\" is the name of site[0] already"},
		{"name = \"read\"", "name = \"read\"\neffect = \"magic\"", "class[0].effect: \"magic\" is none of safe, keyed, unsafe"},
		{"name = \"read\"", "name = \"read\"\neffect = \"keyed\"", "class[0].memory: a keyed class needs one"},
		{"name = \"read\"", "name = \"read\"\nwanted = \"9s\"", "class[0].wanted: 9s is over the deadline"},
		{"name = \"read\"", "name = \"re ad\"", "f.toml:10: class[0].name: \"re ad\" has a character"},
		{"[[tenant]]\nname = \"t\"", "", "tenant: there must be one at least"},
		{"[[tenant]]", "[[trouble]]\nkind = \"crash\"\nfor = \"2s\"\n[[tenant]]", "f.toml:11: trouble[0].nodes: crash names no node"},
		{"[[tenant]]", "[[trouble]]\nkind = \"crash\"\nnodes = [\"z-c1\"]\nfor = \"2s\"\n[[tenant]]", "f.toml:13: trouble[0].nodes[0]: there is no node \"z-c1\""},
		{"[[tenant]]", "[[trouble]]\nkind = \"crash\"\npart = 0.5\n[[tenant]]", "trouble[0].for: crash needs one"},
		{"[[tenant]]", "[[trouble]]\nkind = \"plague\"\n[[tenant]]", "f.toml:12: trouble[0].kind: \"plague\" is none of"},
		{"[[tenant]]", "[[trouble]]\nkind = \"burst\"\nsize = 2\nfor = \"1s\"\nat = \"1h\"\n[[tenant]]", "f.toml:15: trouble[0].at: 1h0m0s is past"},
		{"rate = 10", "rate = 10\nclients = { patience = [0.9, 0.1] }", "clients.patience: 0.9 is over 0.1"},
		{"rate = 10", "rate = 10\nbase = \"nowhere\"", "f.toml:3: base: the kit brings no scenario"},
	} {
		text := strings.Replace(validFile, c.from, c.to, 1)
		_, err := Parse("f.toml", []byte(text))
		var fault *Error
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, not %q", c.to, err, c.says)
		}
	}
}

func TestSetOverridesFile(t *testing.T) {
	s, err := Parse("f.toml", []byte(validFile), "rate=25", "site[0].nodes=7", "database.time=5ms", "class[0].effect=unsafe")
	if err != nil {
		t.Fatal(err)
	}
	if s.Rate != 25 || s.Sites[0].Nodes != 7 || s.Database.Time.D() != 5*time.Millisecond || s.Classes[0].Effect != "unsafe" || s.Database.Workers != Default().Database.Workers {
		t.Errorf("%+v", s)
	}
	for set, says := range map[string]string{"rate=-1": "--set rate=-1: rate: -1 is under", "rate": "not of the form", "site[4].nodes=1": "there is no site[4]",
		"nonsense=1": "--set nonsense=1: nonsense: unknown key"} {
		if _, err := Parse("f.toml", []byte(validFile), set); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", set, err)
		}
	}
}

// TestBuiltinScenarios checks that the built-in scenarios are valid in both lengths and that shortening keeps the order of troubles.
func TestBuiltinScenarios(t *testing.T) {
	for _, want := range []string{"calm", "count-weekend", "burst", "deploy", "bad-clients", "bad-servers", "router-restarts", "discovery-down"} {
		s, err := Find(want)
		if err != nil {
			t.Errorf("%s: %v", want, err)
			continue
		}
		if s.Name != want || s.About == "" || s.Length.D()+s.WarmUp.D() > 4*time.Minute || s.Short.D()+s.WarmUp.D() > time.Minute {
			t.Errorf("%s: %q, %v, short %v", want, s.Name, s.Length.D(), s.Short.D())
		}
		before := s.Troubles
		s.Shorten()
		for i, tr := range s.Troubles {
			if tr.At >= s.Length || i > 0 && tr.At < s.Troubles[i-1].At && before[i].At >= before[i-1].At {
				t.Errorf("%s: %s at %v of %v", want, tr.Kind, tr.At.D(), s.Length.D())
			}
		}
	}
	if _, err := Selftest(); err != nil {
		t.Error(err)
	}
	if _, err := Find(filepath.Join(t.TempDir(), "none.toml")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that is not there: %v", err)
	}
}

// TestReferenceIsUpToDate checks that the reference page in the docs is the generated one and has every key.
func TestReferenceIsUpToDate(t *testing.T) {
	text := Reference()
	page, err := os.ReadFile("../../../docs/operate/scenario-keys.md")
	if err != nil || string(page) != text {
		t.Errorf("docs/operate/scenario-keys.md is not what `rehearse keys` prints (%v)", err)
	}
	var walk func(of reflect.Type)
	walk = func(of reflect.Type) {
		for i := range of.NumField() {
			f := of.Field(i)
			switch kind := f.Type; {
			case kind.Kind() == reflect.Struct && kind != durationType:
				walk(kind)
			case kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct:
				walk(kind.Elem())
			case f.Tag.Get("help") == "" || !strings.Contains(text, "`"+f.Tag.Get("toml")+"`"):
				t.Errorf("%s.%s is not in the reference", of.Name(), f.Name)
			}
		}
	}
	walk(reflect.TypeFor[Scenario]())
}

package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const goodConfig = `{"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946"],
 "known":{"index":41,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"SERVING"}]},
 "settings":{"FleetSize":1,"Limits":{"ConnIdle":7000000000},"Classes":[{"Name":"read","Objective":1,"Deadline":2,"Effect":"safe"}]}}`

func noEnv(string) string { return "" }

func TestGoodConfig(t *testing.T) {
	c, err := parseConfig([]byte(goodConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if c.seed != 0x8c1f30d27a5be964 || c.Known.Index != 41 || c.Settings.Limits.ConnIdle != int64(7*time.Second) ||
		c.Settings.Limits.ConnectTimeout != int64(defaultConnectTimeout) {
		t.Errorf("read as %+v", c)
	}
}

func TestDefaults(t *testing.T) {
	env := map[string]string{"GW_NAME": "n1", "GW_LISTEN": "127.0.0.1:1", "GW_DISCOVERY": "127.0.0.1:2"}
	c, err := parseConfig([]byte(`{"settings":{"Classes":[{"Name":"read","Objective":1,"Deadline":2,"Effect":"safe"}]}}`),
		func(key string) string { return env[key] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Listen != "127.0.0.1:1" || c.Discovery != "127.0.0.1:2" || c.Limits.Sockets != defaultSockets ||
		c.Limits.MemoryMB != defaultMemoryMB || c.Limits.Cores != defaultCores || c.Known.Index >= 0 || c.Settings.FleetSize != 1 ||
		c.Settings.Limits.StreamsPerConn != 1 {
		t.Errorf("with defaults: %+v", c)
	}
}

// An invalid configuration is rejected with an error that names the key.
func TestBadConfigs(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{goodConfig, `{`, "not a JSON object"},
		{goodConfig, `[]`, "JSON"},
		{`"n3"`, `""`, "name:"},
		{`"name":"n3"`, `"name":3`, "name:"},
		{`"listen":"127.0.0.1:8081"`, `"listen":"nowhere"`, "listen:"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":""`, "discovery:"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed:"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores:"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "limits.memory_mb:"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb:"},
		{`"sockets":1024`, `"sockets":10`, "limits.sockets:"},
		{`"peer_listen":"127.0.0.1:7946"`, `"peer_listen":"x"`, "peer_listen:"},
		{`"peers":["127.0.0.1:7946"]`, `"peers":["x"]`, "peers[0]:"},
		{`"seed"`, `"log":"loud","seed"`, "log:"},
		{`"SERVING"`, `"ODD"`, "known: "},
		{`"settings"`, `"other"`, "settings: missing"},
		{`"FleetSize":1`, `"FleetSize":-1`, "settings.FleetSize:"},
		{`"FleetSize":1`, `"FleetSize":1,"MyNumber":1`, "settings.MyNumber:"},
		{`"Objective":1`, `"Objective":0`, "settings.Classes[0].Objective:"},
		{`"Deadline":2`, `"Deadline":-2`, "settings.Classes[0].Deadline:"},
		{`"Effect":"safe"`, `"Effect":"odd"`, "settings.Classes[0].Effect:"},
		{`"Name":"read"`, `"Name":""`, "settings.Classes[0].Name:"},
		{`"Classes":[{`, `"Classes":[{"Name":"read","Objective":1,"Deadline":2,"Effect":"safe"},{`, "settings.Classes[1].Name:"},
		{`"ConnIdle":7000000000`, `"StreamsPerConn":-1`, "settings.Limits.StreamsPerConn:"},
		{`"ConnIdle":7000000000`, `"StreamsPerConn":1.5`, "settings.Limits.StreamsPerConn:"},
		{`"ConnIdle":7000000000`, `"ConnIdle":-1`, "settings.Limits.ConnIdle:"},
		{`"ConnIdle":7000000000`, `"ConnIdle":"long"`, "settings.Limits.ConnIdle:"},
	} {
		t.Run(c.want+" "+c.new, func(t *testing.T) {
			text := strings.Replace(goodConfig, c.old, c.new, 1)
			if text == goodConfig {
				t.Fatal("nothing was changed")
			}
			if _, err := parseConfig([]byte(text), noEnv); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestLoadConfigNamesTheFile(t *testing.T) {
	if _, err := LoadConfig(noEnv); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("without a file: %v", err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(key string) string { return map[string]string{"GW_CONFIG": path}[key] }
	if _, err := LoadConfig(env); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("a missing file: %v", err)
	}
	if err := os.WriteFile(path, []byte(goodConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadConfig(env); err != nil {
		t.Error(err)
	}
}

func TestSplitDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 256, 1024} {
		s := splitDescriptors(sockets)
		if most := s.clients + max(s.clients/8, 2) + s.servers + reservedDescriptors; most > sockets+2 || s.clients < 8 || s.servers < 8 {
			t.Errorf("%d sockets: %+v, together %d", sockets, s, most)
		}
	}
}

func TestMaxReuseIdle(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{5 * time.Second: 4500 * time.Millisecond,
		time.Second: 700 * time.Millisecond, 100 * time.Millisecond: 50 * time.Millisecond} {
		if got := maxReuseIdle(limit); got != want {
			t.Errorf("%v: %v, want %v", limit, got, want)
		}
	}
}

package balance

import (
	"os"
	"strings"
	"testing"
)

// The operators read the decisions whole: 550 lines at most that are not blank, comments counted, none over 110.
func TestDecisionsStayReadable(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, name := range []string{"balance.go", "health.go", "table.go"} {
		if !strings.Contains(string(deploy), `"balance/`+name+`"`) {
			t.Errorf("deploy/balancer.toml does not name balance/%s as policy", name)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := len([]rune(line)); n > 110 {
				t.Errorf("%s:%d has %d characters", name, i+1, n)
			}
		}
	}
	if lines > 550 {
		t.Errorf("the decisions have %d lines that are not blank, 550 allowed", lines)
	}
}

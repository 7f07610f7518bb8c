package balance

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Operators review the policy files as a whole: together they have at most 670 lines that are not blank, comments included, of
// at most 110 characters. deploy/balancer.toml lists the files.
func TestPolicyFilesStaySmall(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^policy *= *\[([^\]]*)\]`).FindSubmatch(deploy)
	if row == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	files := regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(row[1], -1)
	if len(files) == 0 {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	lines := 0
	for _, file := range files {
		name := string(file[1])
		text, err := os.ReadFile(filepath.Join("..", name))
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
	if lines > 670 {
		t.Errorf("the policy files have %d lines that are not blank, 670 allowed", lines)
	}
	if lines < 400 { // a file is missing in the list
		t.Errorf("only %d lines found in %d policy files", lines, len(files))
	}
}

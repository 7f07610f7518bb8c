package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// buildLine matches the line that builds the programs, in a deploy file.
var buildLine = regexp.MustCompile(`(?m)^build = "(.*?)"`)

// The build lines of the deploy files succeed in a checkout that belongs to another user than the one who builds, whatever that user's Go
// environment says: git refuses to read such a checkout, and go build ended with that.
func TestBuildInCheckoutOfAnotherOwner(t *testing.T) {
	for _, name := range []string{"system.toml", "balancer.toml"} {
		text, err := os.ReadFile(filepath.Join("..", "deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		match := buildLine.FindStringSubmatch(string(text))
		if match == nil {
			t.Fatalf("%s has no build line", name)
		}
		out := t.TempDir() + "/"
		line := strings.NewReplacer("target/", out, "bin/", out).Replace(match[1])
		cmd := exec.Command("sh", "-c", strings.NewReplacer("mkdir -p target", "true", "mkdir -p bin", "true").Replace(line))
		cmd.Dir, cmd.Env = "..", append(os.Environ(), "GOFLAGS=-buildvcs=auto", "GIT_TEST_ASSUME_DIFFERENT_OWNER=1")
		if output, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%s: %v\n%s", name, err, output)
		}
		built, err := os.ReadDir(out)
		if err != nil || len(built) == 0 {
			t.Errorf("%s: nothing is built: %v", name, err)
		}
	}
}

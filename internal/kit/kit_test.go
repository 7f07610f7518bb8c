package kit

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"
)

// TestNothingOfTheRouterImportsTheKit guards against a router that brings its rehearsal into service: what a package of the
// kit's own wing opens, draws or links would be in every process. Tests of the router count as the router.
func TestNothingOfTheRouterImportsTheKit(t *testing.T) {
	const wing = "cedarmast/internal/kit"
	cmd := exec.Command("go", "list", "-json=ImportPath,Imports,TestImports,XTestImports", "./...")
	cmd.Dir = "../.."
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	outside := func(path string) bool {
		return path != "cedarmast/cmd/rehearse" && !strings.HasPrefix(path+"/", wing+"/")
	}
	router := 0
	for d := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p struct {
			ImportPath                         string
			Imports, TestImports, XTestImports []string
		}
		if err := d.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if !outside(p.ImportPath) {
			continue
		}
		router++
		for _, i := range append(append(p.Imports, p.TestImports...), p.XTestImports...) {
			if !outside(i) {
				t.Errorf("%s imports %s", p.ImportPath, i)
			}
		}
	}
	if router < 10 {
		t.Errorf("%d packages of the router were looked at: the list is not whole", router)
	}
}

package kit

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"
)

// TestRouterDoesNotImportKit guards against linking the rehearsal kit into the router: what a package of the kit opens, draws or
// links would then run in every production process. Tests of the router count as the router.
func TestRouterDoesNotImportKit(t *testing.T) {
	const kitPrefix = "cedarmast/internal/kit"
	cmd := exec.Command("go", "list", "-json=ImportPath,Imports,TestImports,XTestImports", "./...")
	cmd.Dir = "../.."
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	outside := func(path string) bool {
		return path != "cedarmast/cmd/rehearse" && !strings.HasPrefix(path+"/", kitPrefix+"/")
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
		t.Errorf("only %d packages of the router were checked: the package list is incomplete", router)
	}
}

package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cedarmast/internal/migrate"
)

// moveCmd converts a configuration of the old shape to the new one. The old file is not changed.
type moveCmd struct {
	File    string        `arg:"" help:"Configuration of the old shape. It is only read."`
	Out     string        `help:"Where the counterpart goes; it must not be there yet. Left out: FILE with .moved at its end." placeholder:"PATH"`
	DryRun  bool          `short:"n" help:"Say what would be changed and left behind, and write nothing."`
	Routers int           `required:"" help:"Client processes, each with a router of its own."`
	Number  int           `required:"" help:"Number of this router among them, from 0."`
	Streams int           `default:"100" help:"Requests that a connection carries at once."`
	Idle    time.Duration `default:"60s" help:"After which servers close an idle connection; 0 keeps the old value."`
	Zones   []string      `help:"The locations; servers known elsewhere are left behind. Left out: all are kept." placeholder:"A,B"`
	Zone    string        `help:"Location of this router. Left out: the old one." placeholder:"A"`
	Name    string        `help:"Name of this router. Left out: the old one." placeholder:"NAME"`
	Listen  string        `help:"Address and port for its clients. Left out: the old one." placeholder:"ADDR"`
}

// move runs the command. The converted configuration is validated as a start would before anything is written.
func (p processEnv) move(c moveCmd) int {
	if c.Out == "" {
		c.Out = c.File + ".moved"
	}
	err := func() error {
		text, err := os.ReadFile(c.File)
		if err != nil {
			return err
		}
		if err := checkUnknownKeys(text); err != nil {
			return fmt.Errorf("%s: %w", c.File, err)
		}
		moved, notes, err := migrate.Convert(text, migrate.Target{Routers: c.Routers, Number: c.Number, Name: c.Name, Listen: c.Listen,
			Zone: c.Zone, Zones: c.Zones, Streams: c.Streams, ConnIdle: c.Idle})
		if err != nil {
			return fmt.Errorf("%s: %w", c.File, err)
		}
		if _, err := parseConfig(moved, p.getenv); err != nil {
			return fmt.Errorf("%s: the converted configuration is invalid: %w", c.File, err)
		}
		if _, err := os.Lstat(c.Out); err == nil || !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("%s already exists or can't be examined", c.Out)
		}
		dropped := 0
		for _, n := range notes {
			label := "noted"
			if n.Dropped {
				label = "not carried"
				dropped++
			}
			fmt.Fprintf(p.stdout, "%s: %s: %s\n", label, n.Key, n.Text)
		}
		if c.DryRun {
			fmt.Fprintf(p.stdout, "would write %s: %d not carried; nothing was written\n", c.Out, dropped)
			return nil
		}
		if err := createAtomically(c.Out, moved); err != nil {
			return err
		}
		fmt.Fprintf(p.stdout, "wrote %s: %d not carried; %s is unchanged\n", c.Out, dropped, c.File)
		return nil
	}()
	if err != nil {
		fmt.Fprintln(p.stderr, "cedarmast: move:", err)
		return 2
	}
	return 0
}

// checkUnknownKeys returns an error that names a top-level key the router does not read. The contents of settings and
// known are not checked, because the platform may put more in them than a router reads. Text that is not JSON is
// reported by later steps.
func checkUnknownKeys(text []byte) error {
	var top map[string]json.RawMessage
	if json.Unmarshal(text, &top) != nil {
		return nil
	}
	delete(top, "settings")
	delete(top, "known")
	rest, err := json.Marshal(top)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(rest))
	d.DisallowUnknownFields()
	return d.Decode(&Config{})
}

// createAtomically creates a file with its whole content or not at all. It fails if the path exists.
func createAtomically(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".moved-*") // mode 0600, since a configuration may hold secrets
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Link(f.Name(), path)
}

package process

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/bootconfig"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

const validSettings = "self.node=n\nself.ip=127.0.0.1\nself.zone=z\nnetwork.spare_ports=7660,7675\nnetwork.seed_nodes=127.0.0.1:8146\n"

// needsDataDir is a program that needs a setting which is optional for others.
var needsDataDir = Program{Name: "p", Check: func(s bootconfig.Settings) error {
	if s.DataDir == "" {
		return errors.New("self.data_dir: missing")
	}
	return nil
}}

// A settings file that is not there yet, empty, or cut at any byte when the process starts does not end it: the complete file is read
// once it is there, and no setting of a cut one is.
func TestSettingsBeingWritten(t *testing.T) {
	complete := validSettings + "self.data_dir=/d\ntariff.timetable.grace=6s\ntariff.timetable.retry_slack=62\n"
	for cut := -1; cut < len(complete); cut += 3 {
		path := filepath.Join(t.TempDir(), "boot.conf")
		if cut >= 0 {
			assert.NilError(t, os.WriteFile(path, []byte(complete[:cut]), 0o644))
		}
		var reader settingsReader
		if settings, err := reader.read(needsDataDir, path); err == nil { // cut at the end of a line, behind all that is needed
			assert.Equal(t, settings.DataDir, "/d")
			continue
		}
		assert.NilError(t, os.WriteFile(path, []byte(complete), 0o644))
		settings, err := needsDataDir.waitForSettings(t.Context(), path, hclog.NewNullLogger())
		assert.NilError(t, err, "cut after %d bytes", cut)
		assert.Equal(t, settings.Limits.RetrySlack, 62.0, "cut after %d bytes", cut)
	}
}

// A file without a line end at its end is read if it stays the same.
func TestSettingsWithoutLastLineEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	assert.NilError(t, os.WriteFile(path, []byte(strings.TrimSuffix(validSettings, "\n")), 0o644))
	_, err := Program{}.waitForSettings(t.Context(), path, hclog.NewNullLogger())
	assert.NilError(t, err)
	_, err = Program{}.readSettings(path)
	assert.NilError(t, err)
}

// A settings file that can't be meant ends the process with status 2, and the error names the file and the key. SIGTERM ends the wait.
func TestInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings+"self.data_dir=/d\ntariff.timetable.grace=soon\n"), 0o644))
	_, err := needsDataDir.waitForSettings(t.Context(), path, hclog.NewNullLogger())
	var exit exitError
	assert.Assert(t, errors.As(err, &exit) && exit.status == statusSettings, "%v", err)
	assert.ErrorContains(t, err, path)
	assert.ErrorContains(t, err, "tariff.timetable.grace")

	ctx, stop := context.WithTimeout(t.Context(), settingsRetryInterval)
	defer stop()
	started := time.Now()
	_, err = needsDataDir.waitForSettings(ctx, path, hclog.NewNullLogger())
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, time.Since(started) < settingsTimeout)
}

// The last line of a process is one line, also if its error joins several.
func TestLastLine(t *testing.T) {
	err := errors.Join(errors.New("the disk refuses"), errors.New("open /d: not a directory"))
	assert.Equal(t, Program{Name: "p"}.lastLine(statusFailure, err), "p: ended with status 1: the disk refuses: open /d: not a directory")
}

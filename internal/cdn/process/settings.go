package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/signals"
	"cedarmast/internal/cdn/startup"

	"github.com/hashicorp/go-hclog"
)

const (
	settingsPollInterval  = 5 * time.Second
	settingsRetryInterval = 20 * time.Millisecond
	settingsTimeout       = 3 * time.Second // for a file that is being written when the process starts
)

// errIncompleteSettings is the cause of settings that may be in the middle of being written.
var errIncompleteSettings = errors.New("the file has no line end at its end and may be incomplete")

// readSettings reads a settings file and checks that it has what the program needs.
func (p Program) readSettings(path string) (bootconfig.Settings, error) {
	var reader settingsReader
	settings, err := reader.read(p, path)
	if errors.Is(err, errIncompleteSettings) { // the same as in the reading before it
		settings, err = reader.read(p, path)
	}
	return settings, err
}

// waitForSettings reads the settings file at the start. One that is missing, incomplete or invalid may be replaced in a moment, so it ends
// the process only after settingsTimeout.
func (p Program) waitForSettings(ctx context.Context, path string, log hclog.Logger) (settings bootconfig.Settings, err error) {
	var reader settingsReader
	step := startup.Step{Name: "read " + path, Interval: settingsRetryInterval, Timeout: settingsTimeout, Do: func() (err error) {
		settings, err = reader.read(p, path)
		return err
	}}
	if err := step.Run(ctx, log); err != nil {
		if ctx.Err() != nil {
			return settings, ctx.Err()
		}
		return settings, exitError{statusSettings, err}
	}
	return settings, nil
}

// settingsReader reads a settings file repeatedly.
type settingsReader struct{ previous []byte }

// read reads the file. A file without a line end at its end counts only if it is the same as in the reading before: it may be in the middle
// of being written.
func (r *settingsReader) read(p Program, path string) (bootconfig.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return bootconfig.Settings{}, bootconfig.Error.Wrap(err)
	}
	settled := bytes.HasSuffix(text, []byte("\n")) || bytes.Equal(text, r.previous)
	r.previous = text
	settings, err := bootconfig.Parse(string(text))
	switch {
	case err != nil:
		return settings, err
	case !settled:
		return settings, bootconfig.Error.Wrap(errIncompleteSettings)
	case p.Check != nil:
		return settings, p.Check(settings)
	}
	return settings, nil
}

// watchSettings rereads the settings file on SIGHUP and periodically. Changed seeds take effect at once; other settings only at the
// next start. A file that is unreadable, incomplete or invalid is ignored.
func (p Program) watchSettings(ctx context.Context, path string, settings bootconfig.Settings, log hclog.Logger) {
	var reader settingsReader
	interval := settingsPollInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals.Hangups:
		case <-time.After(interval):
		}
		interval = settingsPollInterval
		updated, err := reader.read(p, path)
		if errors.Is(err, errIncompleteSettings) {
			interval = settingsRetryInterval
			continue
		}
		if err != nil {
			log.Warn("ignoring invalid settings file", "err", err)
			continue
		}
		if !slices.Equal(updated.Seeds, settings.Seeds) {
			log.Info("seeds changed", "seeds", fmt.Sprint(updated.Seeds))
			settings.Seeds = updated.Seeds
			settings.CurrentSeeds.Set(updated.Seeds)
		}
	}
}

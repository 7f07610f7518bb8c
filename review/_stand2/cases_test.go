package main

import (
	"errors"
	"os/exec"
	"testing"
)

// play runs the script of a case, with the disruption. The folder is outside ./..., so that only a named run plays it.
func play(t *testing.T, folder string) {
	t.Helper()
	out, err := exec.Command("../" + folder + "/run.sh").CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
		t.Logf("%s", out)
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Errorf("%s", out)
	default:
		t.Fatalf("the case could not run: %v: %s", err, out)
	}
}

// A server that answers a long once_only request before it has read it has run it.
func TestEarlyAnswer(t *testing.T) { play(t, "4") }

// No request reaches a server that left, also if its service was removed from the configuration.
func TestDrainedServer(t *testing.T) { play(t, "5") }

// Requests in flight are answered, also if their service was removed from the configuration.
func TestRemovedService(t *testing.T) { play(t, "6") }

// Clients that wait for an object don't get the failure of another client's request.
func TestSharedFailure(t *testing.T) { play(t, "7") }

// An encoded slash does not move a once_only request to the route below its own.
func TestEncodedSlash(t *testing.T) { play(t, "8") }

package signals

import (
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brokenPipeVariable makes the test binary write to its standard error, whose reader has gone.
const brokenPipeVariable = "SIGNALS_TEST_BROKEN_PIPE"

func TestMain(m *testing.M) {
	if os.Getenv(brokenPipeVariable) != "" {
		io.Copy(io.Discard, os.Stdin) // until the reader of standard error has gone
		if _, err := os.Stderr.WriteString("a line\n"); err == nil {
			os.Exit(3)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// SIGHUP does not end a process that has not asked for it yet, and is not lost.
func TestHangupIsKept(t *testing.T) {
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	select {
	case s := <-Hangups:
		assert.Equal(t, s, syscall.SIGHUP)
	case <-time.After(10 * time.Second):
		t.Fatal("SIGHUP did not arrive")
	}
}

// SIGUSR1 does not end a process that has not asked for it.
func TestUnaskedUserSignal(t *testing.T) {
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGUSR1))
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP)) // is delivered after it
	select {
	case <-Hangups:
	case <-time.After(10 * time.Second):
		t.Fatal("SIGHUP did not arrive")
	}
}

// A process whose standard error has lost its reader gets an error at its next write, and is not ended by SIGPIPE.
func TestWriteWithoutReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	child := exec.Command(os.Args[0])
	child.Env, child.Stderr = append(os.Environ(), brokenPipeVariable+"=1"), writer
	hold, err := child.StdinPipe()
	assert.NilError(t, err)
	assert.NilError(t, child.Start())
	writer.Close()
	reader.Close()
	hold.Close()
	assert.NilError(t, child.Wait())
}

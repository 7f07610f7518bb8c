package process

import (
	"os"

	"golang.org/x/sys/unix"
)

// standardError is where the runtime writes the stacks of a panic, whatever the program does with its log.
const standardError = 2

// logOutput returns the file that the log is written to. If standard error is a pipe, the log keeps it, and what the runtime writes of a
// panic goes to the same pipe without waiting for its reader: a process that panics while nobody reads ends with what the pipe takes, and
// does not hang with its stacks half written.
func logOutput() *os.File {
	var status unix.Stat_t
	if err := unix.Fstat(standardError, &status); err != nil || status.Mode&unix.S_IFMT != unix.S_IFIFO {
		return os.Stderr
	}
	crashes, err := unix.Open("/proc/self/fd/2", unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil { // the reader has gone, or there is no such file
		return os.Stderr
	}
	defer unix.Close(crashes)
	log, err := unix.FcntlInt(standardError, unix.F_DUPFD_CLOEXEC, standardError+1)
	if err != nil {
		return os.Stderr
	}
	if err := unix.Dup3(crashes, standardError, 0); err != nil {
		unix.Close(log)
		return os.Stderr
	}
	return os.NewFile(uintptr(log), "log")
}

package localnet

import (
	"io"
	"os"
	"syscall"
	"time"
)

// LogReader is how the reader of a process's log behaves. The zero value reads all of it.
type LogReader struct {
	LeaveAfter time.Duration // it goes this long after the start of the process; 0: it stays
	Stalls     bool          // it never reads, from a pipe of the smallest size, and the process logs as much as it can
}

const (
	setPipeSize   = 1031 // F_SETPIPE_SZ of Linux, which package syscall does not define
	smallPipeSize = 4096
)

// processLog is the pipe between a process and the reader of its log.
type processLog struct {
	LogReader
	reader, writer *os.File
	out            io.Writer
}

// openLog opens the pipe of a process's log. Its lines go to Out with a prefix.
func (n *Network) openLog(prefix string, behavior LogReader) (*processLog, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	log := &processLog{LogReader: behavior, reader: reader, writer: writer, out: io.Discard}
	if n.Out != nil {
		log.out = &lineWriter{out: n.Out, mu: &n.outMu, prefix: prefix, started: n.started}
	}
	if behavior.Stalls {
		if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, writer.Fd(), setPipeSize, smallPipeSize); errno != 0 {
			reader.Close()
			writer.Close()
			return nil, Error.Wrap(errno)
		}
	}
	return log, nil
}

// read reads the log as its reader behaves, until the process ends.
func (l *processLog) read(ended <-chan struct{}) {
	if l.Stalls {
		<-ended
	} else if l.LeaveAfter > 0 {
		l.reader.SetReadDeadline(time.Now().Add(l.LeaveAfter))
	}
	io.Copy(l.out, l.reader)
	l.reader.Close()
}

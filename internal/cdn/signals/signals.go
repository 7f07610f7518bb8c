// Package signals takes over, from the initialization of a program on, the signals that would end it although they mean something else:
// SIGHUP says that the settings file has changed, SIGPIPE that the reader of the log has gone, and SIGXFSZ that a file may not grow. The
// package imports next to nothing, so that it is initialized before almost all others. Before that, from the loading of the program on, the
// signals are ignored.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups receives a value for each SIGHUP; several that arrive before it is read may be one value.
var Hangups = catchHangups()

// catchHangups starts catching SIGHUP. A write without a reader or beyond a file's limit is an error from here on, and ends no process.
func catchHangups() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

//go:build cgo

package signals

/*
#include <signal.h>

// Runs when the program is loaded, some milliseconds before the Go runtime initializes packages. A SIGHUP that is ignored here is not
// missed: the settings file is read later. The runtime installs its own handlers of the other signals.
__attribute__((constructor)) static void ignore_early_signals(void) {
	signal(SIGHUP, SIG_IGN);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, SIG_IGN);
}
*/
import "C"

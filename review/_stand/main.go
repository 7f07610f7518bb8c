// Command stand starts a small deployment of the project's own programs on loopback addresses, with small stand-ins for servers,
// clients and the operator, and plays one case of the review. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseLimit is when a case that hangs is given up.
const caseLimit = 110 * time.Second

var cases = map[string]func(*deployment, bool) (broken bool, err error){
	"torn": playTornConfiguration, "shelf": playShorterShelf,
	"chunks": playChunkedBodies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status. All processes are killed before it returns.
func play(name, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, trouble %v", name, trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	d := &deployment{record: record}
	defer d.stop()
	go func() {
		if err := d.start(); err != nil {
			done <- result{err: err}
			return
		}
		broken, err := cases[name](d, trouble)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			record.note("could not run: %v", r.err)
			return 2
		case r.broken:
			record.note("result: the rule was broken")
			return 1
		}
		record.note("result: the rule held")
		return 0
	case <-time.After(caseLimit):
		record.note("could not run: not done after %v", caseLimit)
	case <-interrupted:
		record.note("could not run: interrupted")
	}
	return 2
}

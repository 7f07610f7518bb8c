// Command stand2 runs the cases of the second review: it starts the project's own programs and stand-ins for clients, servers and the
// operator, writes what they saw to record.txt, and exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// scenario is a case; trouble tells whether the disruption takes place.
type scenario func(r *record, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"early-answer":    earlyAnswer,
	"removed-service": removedService,
	"shared-failure":  sharedFailure,
	"drained-server":  drainedServer,
	"encoded-slash":   encodedSlash,
}

// most is the longest time that a case may take.
const most = 115 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{started: time.Now(), file: file}
	time.AfterFunc(most, func() {
		r.add("case", "took too long")
		os.Exit(2) // the programs end with this process
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case", "%s, disruption: %v", os.Args[1], trouble)
	v, err := scenarios[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.add("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case v.broken:
		r.add("case", "the rule was broken: %s", v.text)
		fmt.Println("broken:", v.text)
		os.Exit(1)
	}
	r.add("case", "the rule held: %s", v.text)
	fmt.Println("held:", v.text)
}

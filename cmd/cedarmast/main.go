// Command cedarmast is one router: clients on one side, cache servers on the other. It is told all by the
// configuration file that $GW_CONFIG names.
package main

import (
	"os"

	"cedarmast/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

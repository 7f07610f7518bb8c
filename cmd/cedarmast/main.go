// Command cedarmast runs one router between clients and cache servers. Its configuration is the file that
// $GW_CONFIG names.
package main

import (
	"os"

	"cedarmast/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

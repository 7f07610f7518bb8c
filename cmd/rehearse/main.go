// Command rehearse runs fault scenarios against real routers on one machine and checks the results against the four rules.
package main

import (
	"os"

	"cedarmast/internal/kit/rehearse"
)

func main() { os.Exit(rehearse.Main(os.Args[1:], os.Stdout, os.Stderr)) }

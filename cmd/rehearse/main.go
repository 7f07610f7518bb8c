// Command rehearse plays days of trouble against real routers on one machine and judges them by the four rules.
package main

import (
	"os"

	"cedarmast/internal/kit/rehearse"
)

func main() { os.Exit(rehearse.Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Command drill runs the load balancer's decisions for a simulator, over its protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"cedarmast/internal/settings"
	"cedarmast/internal/simwire"
)

func main() {
	if len(os.Args) > 1 {
		fmt.Fprintln(os.Stderr, "drill: takes no arguments; it reads the simulator's protocol on standard input")
		os.Exit(2)
	}
	operator, err := settings.LoadOperator(os.Getenv("CEDARMAST_OPERATOR"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill: CEDARMAST_OPERATOR:", err)
		os.Exit(2)
	}
	if err := simwire.Run(os.Stdin, os.Stdout, operator); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

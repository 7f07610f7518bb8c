// Command edge runs the proxy of the delivery network.
package main

import (
	"cedarmast/internal/cdn/edge"
	"cedarmast/internal/cdn/process"
)

func main() {
	process.Main(process.Program{Name: "edge", Usage: "proxy of the delivery network", Check: edge.CheckSettings, Run: edge.Run})
}

// Command registry runs the server registry of the delivery network.
package main

import (
	"cedarmast/internal/cdn/process"
	"cedarmast/internal/cdn/registry"
)

func main() {
	process.Main(process.Program{Name: "registry", Usage: "registry of the delivery network", Check: registry.CheckSettings, Run: registry.Run})
}

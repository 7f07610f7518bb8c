// Command configstore runs the replicated configuration store of the delivery network.
package main

import (
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/process"
)

func main() {
	process.Main(process.Program{Name: "configstore", Usage: "store of configuration of the delivery network", Check: configstore.CheckSettings, Run: configstore.Run})
}

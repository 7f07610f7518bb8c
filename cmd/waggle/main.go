// Command waggle is the registry of the delivery network.
package main

import (
	"cedarmast/internal/hive/apiary"
	"cedarmast/internal/hive/waggle"
)

func main() {
	apiary.Main(apiary.Program{Name: "waggle", Usage: "registry of the delivery network", Run: waggle.Run})
}

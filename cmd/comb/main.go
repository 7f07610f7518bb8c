// Command comb is the store of configuration of the delivery network.
package main

import (
	"cedarmast/internal/hive/apiary"
	"cedarmast/internal/hive/comb"
)

func main() {
	apiary.Main(apiary.Program{Name: "comb", Usage: "store of configuration of the delivery network", Run: comb.Run})
}

// Command forager is the proxy of the delivery network.
package main

import (
	"cedarmast/internal/hive/apiary"
	"cedarmast/internal/hive/forager"
)

func main() {
	apiary.Main(apiary.Program{Name: "forager", Usage: "proxy of the delivery network", Run: forager.Run})
}

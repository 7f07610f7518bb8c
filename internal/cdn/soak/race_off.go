//go:build !race

package soak

// raceDetector tells whether the programs are built with the race detector.
const raceDetector = false

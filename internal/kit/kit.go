// Package kit has no code of its own; the packages below it belong to the rehearsal kit. The kit may import the router's
// packages but not the reverse, which the test in this folder enforces.
package kit

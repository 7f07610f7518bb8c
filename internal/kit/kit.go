// Package kit has no code of its own: below it stands all that only the rehearsal kit uses. The kit may import the router's
// packages, and never the other way round, which the test beside this file holds.
package kit

package main

import "math/rand/v2"

// newRandom returns a source for election timeouts, which must differ between members.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

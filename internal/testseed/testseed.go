// Package testseed fixes the seed of property tests, so that a run gives the
// same verdict each time. A test imports it for its effect; -rapid.seed on the
// command line takes precedence, and -rapid.seed=0 draws a new seed.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

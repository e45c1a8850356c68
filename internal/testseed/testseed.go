// Package testseed sets a fixed seed for the property tests of package rapid, so that
// repeated runs give the same result. Tests import it for its side effect. -rapid.seed
// on the command line takes precedence, and -rapid.seed=0 selects a random seed.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the -rapid.seed flag
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

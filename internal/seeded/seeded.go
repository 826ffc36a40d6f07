// Package seeded sets a fixed seed for the property tests of the packages whose tests import
// it, so that CI is deterministic. Other seeds are used with -rapid.seed=0.
package seeded

import (
	"flag"

	// rapid registers the flag that is set below.
	_ "pgregory.net/rapid"
)

// Seed is the default seed of property tests.
const Seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
}

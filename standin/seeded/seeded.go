package seeded

import "flag"

// Defaults of the flags -rapid.seed and -rapid.checks.
const (
	seed   = "20261204"
	checks = "500"
)

// SetFlags sets the seed and the number of checks for the property tests of a package. It must run before the flags are
// parsed, so that flags on the command line override it. It panics if rapid does not define the flags. It returns a
// value so that the initializer of a package variable can call it.
func SetFlags() struct{} {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return struct{}{}
}

package entry_test

import "flag"

// The seed is fixed so that CI gives the same result each time. scripts/fuzz.sh sets other seeds.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

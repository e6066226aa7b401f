package routing_test

import "flag"

// The seed is fixed so that CI runs are reproducible; scripts/fuzz.sh passes other seeds.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

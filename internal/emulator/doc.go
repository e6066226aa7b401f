// Package emulator is a discrete-event simulation that runs a load against the production code for placement and roles. Engines
// and the clock are simulated. The package makes no scheduling decisions of its own: entries place attempts through package
// placement, and package roles changes the roles of engines. Runs with the same configuration and seed give the same result.
//
// A LimitRun plays entries that share request limits, and a CrashRun entries that withhold the parts of prompts that crash engines.
package emulator

// Package emulator plays a load against the code that places requests and sets roles, with engines of its own and a clock
// that it advances itself. It decides nothing: entries place attempts by package placement and change roles by package
// roles. Runs with the same configuration and seed give the same result.
package emulator

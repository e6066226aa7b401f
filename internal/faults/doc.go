// Package faults tests separate processes on loopback: it holds a request, an order or a configuration change at a step
// and injects a fault there. The package has test files only.
package faults

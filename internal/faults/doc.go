// Package faults tests the processes together: it starts them on loopback, brings a request, an order or a
// configuration change to a step, and injects a fault there. The package has test files only.
package faults

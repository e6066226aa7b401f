// Package admission decides which requests are let in. All its functions are pure.
package admission

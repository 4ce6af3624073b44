// Package fbroutes decides when a daemon requests newer routes from another one, for the time
// that the store doesn't deliver them. It does no input or output.
package fbroutes

// Package fbroutes decides when a daemon requests newer routes from another one (a pull), for the
// time that the store doesn't deliver them, and when it answers such a request with the text of its
// own (a push). It does no input or output.
package fbroutes

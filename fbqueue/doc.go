// Package fbqueue implements the decisions of a pool about its waiting tasks: the order in
// which they start. It performs no input or output.
package fbqueue

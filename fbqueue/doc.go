// Package fbqueue implements the decisions of a pool about its waiting tasks: the order in
// which they start, and which targets are reserved for large ones. It performs no input or
// output.
package fbqueue

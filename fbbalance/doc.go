// Package fbbalance decides which waiting tasks of a coordinator move to pools that
// can start them immediately. Its functions have no side effects.
package fbbalance

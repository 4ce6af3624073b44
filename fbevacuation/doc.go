// Package fbevacuation keeps the set of evacuated data centres and its version, as read
// from the store or received from other daemons. It does no I/O.
package fbevacuation

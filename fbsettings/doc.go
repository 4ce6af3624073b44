// Package fbsettings accepts edits of the settings tree and spreads accepted
// versions to every daemon.
//
// An edit is accepted when, and only when, the table service holds it. The head
// row names the newest version and is changed by compare-and-set, in one
// transaction with a row that holds the edit itself. Rows of edits form a ring,
// so the history is bounded. Every SnapshotPeriod versions a whole tree goes to
// the object store. Store does all this.
//
// Spread is the state machine of one daemon: it holds the last good version,
// takes the results of polls and what peers send, and tells what to poll, load,
// push and pull. It has no clock, socket or goroutine. Service runs it.
package fbsettings

// Package fbsettings stores versions of the settings tree on the platform and
// distributes them to all daemons.
//
// Store commits edits. An edit is accepted if and only if the table service has
// stored it. The head row names the newest version. It is changed by
// compare-and-set, in one transaction with the row that stores the edit itself.
// The rows of edits form a ring buffer, so the history is bounded. Every
// SnapshotPeriod versions the complete tree is written to the object store.
//
// Replica is the state machine that keeps one daemon's copy of the settings up to
// date. It handles the results of polls and the updates that peers send, and
// returns what to poll, load, push and pull. It has no clock, socket or goroutine.
// Service runs it.
package fbsettings

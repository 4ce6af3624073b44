// Package fbmember implements an entry daemon's directory of the other entry
// daemons: which of them the platform lists, which of them reply to heartbeats,
// which incarnation runs at which address and which daemon answers for the
// incarnations that have stopped.
//
// A Directory does no input or output. It keeps its last state while the
// platform can't be reached, and distinguishes successive runs of a daemon at one
// address by their incarnations.
package fbmember

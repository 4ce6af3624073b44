// Package fbmember holds what an entry daemon knows of the other entry daemons:
// which of them the platform lists, which of them reply to heartbeats, which
// incarnation runs at which address and which daemon answers for those that have
// stopped.
//
// A Directory does no input or output. It keeps its last state while the
// platform can't be reached, and tells successive runs of a daemon at one address
// apart by their incarnations.
package fbmember

// Package fblink sends messages between the daemons of a fleet over drpc, with one
// stream for each direction between two daemons. Messages arrive in order or not
// at all. A broken stream is opened again, and both sides are notified.
package fblink

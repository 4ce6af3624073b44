// Package fblink carries messages between the daemons of a fleet over drpc: one
// stream for each direction of a pair. Messages arrive in order or not at all;
// a stream that breaks is made again, and both sides are told so.
package fblink

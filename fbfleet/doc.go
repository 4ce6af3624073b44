// Package fbfleet decides which daemon of the fleet owns which pool of targets.
// It does no input or output: its methods take events together with the time of
// a clock that also advances while the machine is suspended.
//
// The heartbeats of a daemon name the pools that it owns, with their fencing
// tokens, and the daemons whose heartbeats it receives. The owner of a pool is
// the reachable daemon with the highest token. A pool without an owner is claimed
// by the daemon that ranks first for it: daemons of its data centre before others,
// then by weight. A daemon without a connection to more than half of the fleet
// may be the one that is cut off; it claims a pool only once the store shows that
// the owner's claim is no longer renewed, or within a data centre that is cut off
// as a whole.
package fbfleet

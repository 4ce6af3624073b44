// Package fbfleet decides which daemon of the fleet owns which pool of targets.
// It is free of input and output: methods take events with the time of a clock
// that counts suspension.
//
// Daemons tell each other by heartbeats which pools they own, under which
// fencing token, and whom they hear. The owner of a pool is the reachable daemon
// with the highest token. A pool without one is claimed by the daemon that ranks
// first for it: of its data centre before others, then by weight. A daemon that
// hears less than half of the fleet may be the one that is cut off; it claims
// only once the store shows that the owner's claim is no longer renewed, or
// within a data centre that is cut off as a whole.
package fbfleet

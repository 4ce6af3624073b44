// Package fbview decides which daemon of a data centre may start the jobs of
// opaque keys, which are submission IDs that don't name their owner.
//
// The daemons of a data centre share a view: a small row of the table service
// that holds an epoch and the members, and is changed only by compare-and-set.
// A rendezvous hash over the members gives each key its owner. The owner may
// start a key's job only while it holds a lease, that is, within one lease
// period after it requested a confirmation that the view was still the newest
// one: either a read of the row, or a promise by every other member. The owner
// under a new view waits for that period and a margin for clock drift before it
// starts anything that the previous owner might have started.
//
// A promise states that the member that gives it has sent no commit of a newer
// view. Only a member, or a daemon with proof that a member has terminated for
// good, may commit a newer view. The promises of all other members therefore
// prove that no newer view was committed before they were requested.
//
// View is a pure state machine: its methods take events and the time, and
// return actions for the daemon to carry out. model/view.pml specifies the same
// protocol; docs/MODELS.md maps one to the other.
package fbview

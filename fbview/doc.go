// Package fbview decides which daemon of a data centre may start the jobs of
// opaque keys, submission IDs that don't name their owner.
//
// The daemons of a data centre share a view: one small row of the table
// service with an epoch and the members, changed only by compare-and-set. A
// rendezvous hash over the members gives each key its owner. The owner may
// start a key's job only within a lease period of having asked for a
// confirmation that the view was still the newest one: either a read of the
// row, or a promise by every other member. The owner under a new view waits
// for that period and a margin for clock drift before it starts anything that
// the former owner might have.
//
// A promise states that its giver, a member of the view, has sent no commit of
// a newer one. Since only a member, or a daemon that knows a member to be gone
// for good, may commit a newer view, the promises of all other members prove
// that no newer view was committed before they were asked for.
//
// View is a pure state machine: events and the time come in by method calls,
// actions are returned for the daemon to carry out. model/view.pml specifies
// the same protocol; docs/MODELS.md maps one to the other.
package fbview

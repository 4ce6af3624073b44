// Package fbpolicy implements the policies that decide which jobs a daemon
// accepts, in which order jobs run and at which targets their tasks start. The
// policies read no clock and share no state between daemons.
package fbpolicy

import (
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// The names of the policies.
const (
	// NameAdaptive is the policy that estimates the targets' speed and health.
	NameAdaptive = "adaptive"
	// NameRandom starts tasks at a random target with a free slot.
	NameRandom = "random"
	// NameRoundRobin starts tasks at the targets in turn.
	NameRoundRobin = "round-robin"
	// NameLeastOutstanding starts tasks at the target that runs the fewest of
	// the daemon's tasks.
	NameLeastOutstanding = "least-outstanding"
	// NameTwoChoices starts tasks at that of two random targets that runs fewer of
	// the daemon's tasks.
	NameTwoChoices = "two-choices"
)

// ErrUnknownPolicy is returned by New for a name that no policy has.
var ErrUnknownPolicy = eris.New("unknown policy")

// Names returns the names of all policies, the default first.
func Names() []string {
	return []string{NameAdaptive, NameRandom, NameRoundRobin, NameLeastOutstanding, NameTwoChoices}
}

// New returns the policy with the given name, or the default policy if the name
// is empty. Daemons of a data centre should use different seeds, such as their
// incarnations, so that they prefer different targets among equally good ones.
func New(name string, seed uint64) (filbertford.Policy, error) {
	switch name {
	case NameAdaptive, "":
		return NewAdaptive(seed), nil
	case NameRandom:
		return newBaseline(seed, pickRandom), nil
	case NameRoundRobin:
		return newBaseline(seed, pickRoundRobin), nil
	case NameLeastOutstanding:
		return newBaseline(seed, pickLeastOutstanding), nil
	case NameTwoChoices:
		return newBaseline(seed, pickTwoChoices), nil
	default:
		return nil, eris.Wrapf(ErrUnknownPolicy, "policy %q, want one of %v", name, Names())
	}
}

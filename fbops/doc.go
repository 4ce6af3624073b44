// Package fbops serves operators over HTTP, on a listener separate from that of
// the callers: the daemon's metrics, its settings version, the state of VMs and
// targets, and the burn of the services' error budgets.
package fbops

// Package fbops serves operators over HTTP, apart from the callers: the
// daemon's metrics, its settings version, and what it knows of VMs and targets.
package fbops

// Package fbsoak runs daemons of a fleet as separate processes, with stand-ins of
// the platform, and injects faults that are drawn from a seed. It injects them from
// outside the daemons: by signals, by proxies on loopback addresses between all
// components, and by faults of the stand-ins. It checks the answers to callers and
// the runs at targets.
package fbsoak

// Package fbsoak runs daemons of a fleet as separate processes, with stand-ins of
// the platform, under faults that are drawn from a seed and brought about from
// outside: signals, and proxies on loopback addresses between all parts. It checks
// what callers and targets see.
package fbsoak

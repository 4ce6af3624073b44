// Package fbstandin holds small stand-ins for what the users' platform provides:
// the table service, the object store, the VM list, and the targets that run
// tasks. They keep everything in memory and have switches for faults, so that
// tests can break what they talk to. docs/PROTOCOLS.md describes the requests.
package fbstandin

// Package fbstandin implements in-memory stand-ins for the services of the users'
// platform: the table service, the object store, the VM list, the metadata store,
// and the targets and workers that run tasks. Tests switch faults of the stand-ins
// on and off. docs/PROTOCOLS.md describes the requests.
package fbstandin

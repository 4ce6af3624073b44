// Package fbtree implements the settings tree. Its root is the organisation,
// below it are the teams, their services and the services' job kinds. Each node
// inherits the settings of the node above and can override any of them. VMs are in
// a separate branch, /vms/NAME.
//
// A Tree is immutable. It is encoded as INI text with one section for each node,
// and applying a list of changes to it returns a new tree. The rules of all jobs
// are resolved when a tree is built, so that a lookup takes one map access.
// The package does no input or output and reads no clock.
package fbtree

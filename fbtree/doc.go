// Package fbtree holds the settings tree: an organisation with its teams, their
// services and the services' job kinds, where each level inherits the settings
// of the level above and overrides single ones. VMs stand in a branch of their
// own, /vms/NAME.
//
// A Tree is immutable. It is written as INI, one section for each node, is
// changed by lists of changes, and is resolved when it is made, so that the
// rules of a job are found by one map lookup. The package reads no clock, file
// or socket.
package fbtree

// Package fbconfig reads the settings file of an entry daemon: what one process
// must know before it can reach anybody, and the bounds that protect it. The
// settings of teams, services and jobs live in the settings tree instead.
package fbconfig

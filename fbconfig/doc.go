// Package fbconfig reads the settings files of entry daemons and of daemons of a
// fleet: the settings that a process needs before it can contact others, and the
// limits that protect it. The settings of teams, services and jobs are in the
// settings tree instead (package fbtree).
package fbconfig

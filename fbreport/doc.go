// Package fbreport renders HTML pages with inline plots: one that compares
// results of package fbload, such as those of several policies, for each mix and
// load, and one that shows the service-level burn of package fbburn.
package fbreport

// Package fbreport writes results of package fbload as one HTML page with
// inline plots, on which the policies stand side by side for each mix and load.
package fbreport

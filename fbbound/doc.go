// Package fbbound computes the response times that a workload could have had, with
// which measured ones are compared: lower bounds for each job alone, and those of
// a clairvoyant list schedule of all jobs, which knows the true run times and the
// speeds of targets in advance. Its functions have no side effects.
package fbbound

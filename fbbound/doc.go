// Package fbbound computes response times with which the measured ones of a workload
// are compared: lower bounds for each job alone, and the response times of a
// clairvoyant list schedule of all jobs, which knows the true run times and the
// speeds of targets in advance. Its functions have no side effects.
package fbbound

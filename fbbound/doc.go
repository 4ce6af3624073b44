// Package fbbound computes what response times a workload could have had: a
// lower bound for each job by itself, and a clairvoyant list schedule of all
// jobs that knows every true run time and every target's speed in advance. It
// is pure and serves as the yardstick of measurements.
package fbbound

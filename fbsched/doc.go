// Package fbsched holds the state machines that run workloads on the targets of
// the platform. A Pool starts, watches and stops tasks on the targets that one
// daemon owns. A Coordinator splits a job into steps and offers their tasks to
// pools. Both are free of input and output: methods take events with the time
// of a clock that counts suspension, and TakeActions returns what is to be done.
package fbsched

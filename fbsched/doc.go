// Package fbsched implements the state machines that run workloads on the targets
// of the platform. A Pool starts, monitors and stops tasks on the targets that one
// daemon owns. A Coordinator splits a job into steps and offers their tasks to
// pools. Neither performs I/O: callers pass events to the methods, together with
// the time of a monotonic clock that also runs while the machine is suspended, and
// carry out the actions that TakeActions returns.
package fbsched

// Package fblog writes log lines without blocking the caller. A Writer queues
// lines and drops and counts those that exceed its queue; a Limiter limits and
// counts the lines of an event that is logged too often.
package fblog

// Package fblimit bounds what callers can make a process hold: their connections, the memory of
// their requests, and the time of requests that make no progress and of answers that nobody reads.
//
// A Limiter keeps one account of bytes for all callers. A connection takes its share when it is
// accepted, a body before it is read and a job before it waits. What doesn't fit is refused at
// once, unless connections without progress can be closed in its favour.
package fblimit

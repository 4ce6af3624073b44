// Package fbmember keeps what an entry daemon knows of the other entry daemons:
// who is listed by the platform, who answers heartbeats, which incarnation runs
// where and who answers for those that have stopped.
//
// A Directory does no input or output. It goes on with what it last knew while
// the platform can't be reached, and tells two runs of a daemon at one address
// apart by their incarnations.
package fbmember

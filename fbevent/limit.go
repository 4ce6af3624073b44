package fbevent

// Events of the limits on what callers hold.
var (
	RequestRefused   = warnEvent("FE8001", "request refused: callers hold all the memory that is set aside for them")
	ConnectionClosed = warnEvent("FE8002", "connection of a caller closed, because it made no progress or others need its place")
	StoredJobRefused = warnEvent("FE8003", "stored job refused: the jobs of this daemon's shards take all the memory that is set aside for them")
	JobsRefused      = warnEvent("FE8004", "jobs refused: those that have not ended take all the memory that is set aside for them")
)

package fbevent

// Events of decisions under contention.
var (
	JobAdmitted = infoEvent("FE7081", "job accepted")
	JobRejected = infoEvent("FE7082", "job rejected, or taken back before it started")
)

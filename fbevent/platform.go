package fbevent

// Events of the stand-ins for the platform and targets.
var (
	StandInServing = infoEvent("FE3001", "stand-in serving the platform or targets")
	StandInStopped = infoEvent("FE3002", "stand-in stopped")
	StandInFailed  = errorEvent("FE3003", "stand-in failed")
)

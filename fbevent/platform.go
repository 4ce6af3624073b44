package fbevent

// Events of the platform's and the targets' stand-ins.
var (
	StandInServing = infoEvent("FE3001", "stand-in serves the platform or targets")
	StandInStopped = infoEvent("FE3002", "stand-in has stopped")
	StandInFailed  = errorEvent("FE3003", "stand-in failed")
)

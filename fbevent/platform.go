package fbevent

// Events of the platform's and the targets' stand-ins.
var (
	StandInServing = info("FE3001", "stand-in serves the platform or targets")
	StandInStopped = info("FE3002", "stand-in has stopped")
	StandInFailed  = fault("FE3003", "stand-in failed")
)

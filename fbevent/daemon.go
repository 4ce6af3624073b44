package fbevent

// Events of an entry daemon's life.
var (
	DaemonStarting        = infoEvent("FE1001", "daemon is starting")
	DaemonReady           = infoEvent("FE1002", "daemon takes jobs")
	DaemonStopping        = infoEvent("FE1003", "daemon is stopping and takes no new jobs")
	DaemonStopped         = infoEvent("FE1004", "daemon has stopped")
	DaemonFailed          = errorEvent("FE1005", "daemon failed")
	SettingsRefused       = errorEvent("FE1006", "settings file was refused")
	RequestPanicked       = errorEvent("FE1007", "a request handler failed")
	InvariantBroken       = errorEvent("FE1008", "an invariant does not hold")
	SubmissionsHandedOver = infoEvent("FE1009", "submissions were handed to the heir")
	HandoverFailed        = warnEvent("FE1010", "submissions could not be handed over; their outcome becomes unknown")
	SubmissionsInherited  = infoEvent("FE1011", "submissions were inherited from a stopping daemon")
	PlatformUnreachable   = warnEvent("FE1013", "platform can't be reached; the daemon goes on with what it last knew")
	PlatformReachable     = infoEvent("FE1014", "platform can be reached")
	StopDrainTimeout      = warnEvent("FE1012", "daemon stops although jobs are still in flight")
)

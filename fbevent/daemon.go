package fbevent

// Events of the entry daemon.
var (
	DaemonStarting        = infoEvent("FE1001", "daemon starting")
	DaemonReady           = infoEvent("FE1002", "daemon ready to accept jobs")
	DaemonStopping        = infoEvent("FE1003", "daemon stopping; it accepts no new jobs")
	DaemonStopped         = infoEvent("FE1004", "daemon stopped")
	DaemonFailed          = errorEvent("FE1005", "daemon failed")
	SettingsRejected      = errorEvent("FE1006", "settings file rejected")
	RequestPanicked       = errorEvent("FE1007", "request handler panicked")
	InvariantBroken       = errorEvent("FE1008", "invariant violated")
	SubmissionsHandedOver = infoEvent("FE1009", "submissions handed over to the successor")
	HandoverFailed        = warnEvent("FE1010", "could not hand over submissions; their outcome becomes unknown")
	SubmissionsInherited  = infoEvent("FE1011", "submissions inherited from a stopping daemon")
	PlatformUnreachable   = warnEvent("FE1013", "platform unreachable; continuing with the last known state")
	PlatformReachable     = infoEvent("FE1014", "platform reachable again")
	StopDrainTimeout      = warnEvent("FE1012", "drain timeout expired; stopping with jobs in flight")
)

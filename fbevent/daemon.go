package fbevent

// Events of an entry daemon's life.
var (
	DaemonStarting   = info("FE1001", "daemon is starting")
	DaemonReady      = info("FE1002", "daemon takes jobs")
	DaemonStopping   = info("FE1003", "daemon is stopping and takes no new jobs")
	DaemonStopped    = info("FE1004", "daemon has stopped")
	DaemonFailed     = fault("FE1005", "daemon failed")
	SettingsRefused  = fault("FE1006", "settings file was refused")
	RequestPanicked  = fault("FE1007", "a request handler failed")
	InvariantBroken  = fault("FE1008", "an invariant does not hold")
	TableHandedOver  = info("FE1009", "submissions were handed to the heir")
	HandOverFailed   = warn("FE1010", "submissions could not be handed over; their outcome becomes unknown")
	TableInherited   = info("FE1011", "submissions were inherited from a stopping daemon")
	PlatformLost     = warn("FE1013", "platform can't be reached; the daemon goes on with what it last knew")
	PlatformBack     = info("FE1014", "platform can be reached")
	StopDrainTimeout = warn("FE1012", "daemon stops although jobs are still in flight")
)

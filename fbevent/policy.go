package fbevent

// Events of the placement policy.
var (
	TargetSuspected   = warnEvent("FE5001", "target fails tasks that succeed elsewhere; it gets one task at a time")
	TargetQuarantined = warnEvent("FE5002", "target quarantined; it gets single probes")
	TargetTrusted     = infoEvent("FE5003", "target trusted again")
)

package fbevent

// Events of the placement policy.
var (
	TargetSuspected   = warnEvent("FE5001", "target fails what runs elsewhere; it gets one task at a time")
	TargetQuarantined = warnEvent("FE5002", "target is quarantined; it gets single probes")
	TargetTrusted     = infoEvent("FE5003", "target is trusted again")
)

package fbevent

// Events of the placement policy.
var (
	TargetSuspected   = warn("FE5001", "target fails what runs elsewhere; it gets one task at a time")
	TargetQuarantined = warn("FE5002", "target is quarantined; it gets single probes")
	TargetTrusted     = info("FE5003", "target is trusted again")
)

package fbevent

// Events of decisions under contention.
var (
	JobAdmitted      = infoEvent("FE7081", "job accepted")
	JobRejected      = infoEvent("FE7082", "job rejected, or taken back before it started")
	TasksRecalled    = infoEvent("FE7083", "waiting tasks of a job recalled from a pool, because another pool is free")
	TasksMoved       = infoEvent("FE7084", "recalled tasks offered to another pool")
	RecallTooLate    = infoEvent("FE7085", "recalled task had started")
	TargetReserved   = infoEvent("FE7086", "target reserved for a large task that fits nowhere")
	ReservationUsed  = infoEvent("FE7087", "task with a reservation is started")
	ReservationEnded = infoEvent("FE7088", "reservation given up")
)

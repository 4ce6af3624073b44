package fbevent

// Events of the caller library and the load tool.
var (
	DeliveryLost    = warn("FE6001", "delivery got no valid answer; the job is sent again under the same ID")
	DeliveryRefused = info("FE6002", "delivery was refused; the job is sent again later")

	LoadStarted     = info("FE6011", "load starts")
	LoadProgress    = info("FE6012", "load goes on")
	LoadFinished    = info("FE6013", "load has ended")
	FaultSwitched   = info("FE6014", "fault was switched")
	FaultFailed     = warn("FE6015", "fault could not be switched")
	CountersMissing = warn("FE6016", "counters could not be read; the result leaves them out")
	DoubleStart     = fault("FE6017", "work was started more than once")
	ReportWritten   = info("FE6018", "report was written")
)

package fbevent

// Events of the caller library and the load tool.
var (
	DeliveryUnanswered = warnEvent("FE6001", "delivery got no valid answer; the job is sent again under the same ID")
	DeliveryRefused    = infoEvent("FE6002", "delivery was refused; the job is sent again later")

	LoadStarted       = infoEvent("FE6011", "load starts")
	LoadProgress      = infoEvent("FE6012", "load goes on")
	LoadFinished      = infoEvent("FE6013", "load has ended")
	FaultChanged      = infoEvent("FE6014", "fault was switched")
	FaultChangeFailed = warnEvent("FE6015", "fault could not be switched")
	CountersMissing   = warnEvent("FE6016", "counters could not be read; the result leaves them out")
	DoubleStart       = errorEvent("FE6017", "work was started more than once")
	ReportWritten     = infoEvent("FE6018", "report was written")
)

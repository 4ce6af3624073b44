package fbevent

// Events of the client library and the load generator.
var (
	DeliveryUnanswered = warnEvent("FE6001", "no valid answer to a delivery; resubmitting the job under the same ID")
	DeliveryRejected   = infoEvent("FE6002", "delivery rejected; resubmitting the job later")

	LoadStarted       = infoEvent("FE6011", "load started")
	LoadProgress      = infoEvent("FE6012", "load in progress")
	LoadFinished      = infoEvent("FE6013", "load finished")
	FaultChanged      = infoEvent("FE6014", "fault injection changed")
	FaultChangeFailed = warnEvent("FE6015", "could not change fault injection")
	CountersMissing   = warnEvent("FE6016", "could not read counters; the result omits them")
	DoubleStart       = errorEvent("FE6017", "work started more than once")
	ReportWritten     = infoEvent("FE6018", "report written")
)

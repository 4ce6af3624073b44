package fbevent

// BurnReportWritten is the event of the service-level burn.
var BurnReportWritten = infoEvent("FE1020", "page of the service-level burn was written")

package fbevent

// BurnReportWritten is logged when the burn command has written its HTML report.
var BurnReportWritten = infoEvent("FE1020", "error budget burn report written")

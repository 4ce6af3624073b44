package fbevent

// BurnPageWritten is the event of the service-level burn.
var BurnPageWritten = info("FE1020", "page of the service-level burn was written")

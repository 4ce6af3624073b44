// Package fbburn counts the answers of daemons against the objectives of
// services and computes burn rates. It uses no clock, sockets or goroutines; the
// caller passes the time.
//
// A burn rate is the share of bad answers divided by the share of bad answers
// that the objective allows. At a burn rate of 1, the failures use up the error
// budget exactly. The windows, the thresholds and the rule that an alert needs a
// high burn rate over both a long and a short window are those of "The Site
// Reliability Workbook" (Google), chapter 5, "Alerting on SLOs", approach 6,
// whose budget is that of 30 days.
package fbburn

// Package fbburn counts how daemons answer against the services' objectives and
// computes burn rates. It has no clock, socket or goroutine: time comes as an
// argument.
//
// A burn rate is the share of bad answers over the share that the objective
// allows: at 1, the failures use up the budget exactly. The windows, the
// thresholds and the rule that a long and a short window must both burn are
// those of "The Site Reliability Workbook" (Google), chapter 5, "Alerting on
// SLOs", approach 6, whose budget is that of 30 days.
package fbburn

// Package fbclient is the caller library of filbertford. A Client submits jobs
// to entry daemons, resubmits them when an outcome is uncertain, and follows
// the daemons' word on when to come back.
//
// Resubmission is safe: as long as an earlier delivery may have reached the
// owner, a job is sent again only under the same submission ID, which the owner
// starts at most once. A new ID is minted only when it is certain that nothing
// of the job ran under the old one.
package fbclient

// Package fbclient is the client library of filbertford. A Client submits jobs
// to entry daemons, resubmits them when the outcome is unknown, and retries a
// refused job after the wait that the refusal states.
//
// Resubmission is safe: while an earlier delivery may have reached the owner,
// the client sends the job again only under the same submission ID, which the
// owner starts at most once. It mints a new ID only when it is certain that no
// task of the job ran under the old one.
package fbclient

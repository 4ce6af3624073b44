// Package fbshard manages stored jobs. An Owner is responsible for one shard of
// them, whose rows are in one part of the platform's store. A job is accepted once
// its row is committed, and the outcome of a task is valid once it is committed.
// Each transaction expects the version of the owner's claim. A transaction of an
// owner that was replaced, or one that the store applies late, therefore fails and
// changes nothing. The package does no input or output.
package fbshard

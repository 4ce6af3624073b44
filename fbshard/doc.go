// Package fbshard keeps stored jobs: a Keeper owns a shard of them, whose rows
// lie in one part of the platform's store. A job is accepted once its row is
// committed, and ends of tasks count once they are. Each transaction demands the
// version of the keeper's claim, so that a keeper that was replaced, or whose
// last transaction may yet be carried out late, changes nothing any more. The
// package is free of input and output.
package fbshard

// Package fbapi serves callers over HTTP: submission, status and cancellation
// of jobs, and the owner token. docs/PROTOCOLS.md describes the interface.
package fbapi

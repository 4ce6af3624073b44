// Package fbcrowd has the tests of daemons beside crowds of callers that don't finish their
// requests or don't read the answers. Each test measures the memory and the descriptors of a
// process and has to run apart from other load.
package fbcrowd

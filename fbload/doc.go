// Package fbload is an open-loop load tool. It draws a workload from a mix with
// a fixed seed and submits each job when it is due, whether or not earlier jobs
// have finished. During the load it injects faults into the stand-ins. It
// compares the response times with the ideal ones and with those of a
// clairvoyant schedule, both of package fbbound.
//
// A response time starts when the job was due to be sent, so that a slow daemon
// can't hide its delays by slowing down the load generator.
package fbload

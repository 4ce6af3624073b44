// Package fbload is an open-loop load tool. It draws a workload from a mix with
// a fixed seed, submits each job at its moment whether or not earlier ones are
// over, switches faults of the stand-ins on the way, and compares what came
// back with the ideal and with a clairvoyant schedule.
//
// Response times count from the moment at which a job was due to be sent, so
// that a slow daemon can't hide its delays by holding up the generator.
package fbload

// Package fbpeer implements the requests between entry daemons over DRPC: a Client
// that sends them and a Server that answers them.
package fbpeer

// Package fbpeer connects entry daemons by drpc: a Client that asks other
// daemons and a Server that answers them.
package fbpeer

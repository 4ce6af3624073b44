// Package fbconn tells whether the other side of a TCP connection has closed it.
package fbconn

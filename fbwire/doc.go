// Package fbwire holds the messages and the drpc service that entry daemons
// use among themselves, generated from peer.proto.
package fbwire

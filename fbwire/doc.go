// Package fbwire contains the protobuf messages and DRPC services, generated from
// the .proto files: node.proto for messages between the daemons of a fleet and
// peer.proto for requests between entry daemons.
package fbwire

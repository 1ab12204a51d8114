// Package wire holds the Protocol Buffers messages and dRPC services that balancers exchange,
// generated from peer.proto.
package wire

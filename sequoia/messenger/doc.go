// Package messenger carries jsonrpc2 calls between processes over TCP, with a keepalive on each connection.
package messenger

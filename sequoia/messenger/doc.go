// Package messenger sends jsonrpc2 calls between processes over TCP connections with keepalive.
package messenger

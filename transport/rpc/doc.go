// Package rpc sends the messages of package peer over drpc, encoded as CBOR.
package rpc

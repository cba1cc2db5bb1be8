// Package ledger accounts for the memory of one model runner and decides which load and unload orders to send to it.
package ledger

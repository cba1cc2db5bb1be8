// Package document decodes JSON with comments into structs and reports every fault with its line.
package document

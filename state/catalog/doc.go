// Package catalog defines the named objects that operators publish, validates a whole set of them and resolves public
// names to units, adapters and services.
package catalog

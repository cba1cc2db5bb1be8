// Package publication publishes the catalog to the key-value service: as immutable chunks, and as one head that refers
// to them and whose revision only grows.
package publication

// Package orders decides which order a model runner gets next, so that its memory and its adapter places suffice also
// when answers to orders are lost.
package orders

// Package orders decides which order a model runner gets next. The orders never exceed the runner's memory or its
// adapter slots, even when results of orders are lost.
package orders

// Package residency defines the observed state of runners and the observed demand for models and adapters.
package residency

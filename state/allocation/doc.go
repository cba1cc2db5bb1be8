// Package allocation plans which models the runners of a service hold: at least one copy of each model, and more copies
// of the models with the highest demand.
package allocation

// Package allocation plans which models the runners of a service hold: at least one replica of each model, and more
// replicas of the models with the highest demand. A replica is a model that is resident on a runner.
package allocation

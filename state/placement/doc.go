// Package placement plans which models, versions and adapters the runners of one failure domain hold.
package placement

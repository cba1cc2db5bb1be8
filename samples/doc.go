// Package samples embeds the catalogs of two sample deployments.
package samples

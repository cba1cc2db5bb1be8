// Package seeded makes property tests reproducible: every run uses the same seed.
package seeded

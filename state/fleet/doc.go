// Package fleet holds the directory of runners, with their state and the units resident on each, and the types for
// requests, orders and reports.
package fleet

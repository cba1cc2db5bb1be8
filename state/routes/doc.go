// Package routes holds one version of the configuration of routes and services, and matches requests to routes.
package routes

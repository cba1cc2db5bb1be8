// Package routes holds one configuration of routes and services and finds the route of a request.
package routes

// Package platform defines the HTTP APIs of the platform's key-value service and VM list.
package platform

// Package trace joins the log lines of many processes into what became of one request, and why.
package trace

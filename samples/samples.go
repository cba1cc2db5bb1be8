package samples

import "embed"

//go:embed *.jsonc
var files embed.FS

// Names returns the names of the sample deployments.
func Names() []string { return []string{"hinokage", "association"} }

// Catalog returns the contents of the catalog file of a sample deployment, given its name.
func Catalog(name string) ([]byte, error) { return files.ReadFile(name + ".jsonc") }

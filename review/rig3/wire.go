package main

import (
	_ "embed"
	"strings"
)

//go:embed wire.txt
var wireText string

// wire holds the names of wire.txt by their keys.
var wire = func() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wireText) {
		if key, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[key] = name
		}
	}
	return names
}()

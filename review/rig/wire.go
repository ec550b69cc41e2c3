package main

import (
	_ "embed"
	"strings"
)

//go:embed wire.txt
var wireNames string

// wire returns the name that stands for a key in wire.txt.
func wire(key string) string {
	for line := range strings.Lines(wireNames) {
		if k, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok && k == key {
			return name
		}
	}
	panic("no name for " + key)
}

package main

import (
	_ "embed"
	"strings"
)

//go:embed wire.txt
var wireNames string

// wire replaces each {key} of wire.txt in a text by its name.
var wire = func() func(string) string {
	var pairs []string
	for line := range strings.Lines(wireNames) {
		if key, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok && key != "#" {
			pairs = append(pairs, "{"+key+"}", name)
		}
	}
	return strings.NewReplacer(pairs...).Replace
}()

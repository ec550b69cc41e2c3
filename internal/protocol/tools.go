//go:build tools

package protocol

// This import pins the version of the generator in go.mod; see CONTRIBUTING.md.
import _ "github.com/twitchtv/twirp/protoc-gen-twirp"

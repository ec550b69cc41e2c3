//go:build tools

package protocol

// The generator is pinned in go.mod; see CONTRIBUTING.md.
import _ "github.com/twitchtv/twirp/protoc-gen-twirp"

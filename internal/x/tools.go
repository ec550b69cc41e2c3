//go:build tools

package x

import _ "github.com/twitchtv/twirp/protoc-gen-twirp"

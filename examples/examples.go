// Package examples embeds an example manifest, so that the binary can run a demo without a
// source checkout.
package examples

import _ "embed"

// Ahnenbach is the manifest of a mesh with two services and four routes.
//
//go:embed ahnenbach.yaml
var Ahnenbach []byte

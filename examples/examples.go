// Package examples holds the example manifests, so that the binary can show
// them working without a checkout.
package examples

import _ "embed"

// Ahnenbach is the manifest of a mesh with two services and four routes.
//
//go:embed ahnenbach.yaml
var Ahnenbach []byte

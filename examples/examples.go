// Package examples contains the settings of two deployments at full size.
package examples

import _ "embed"

// Tideline contains the settings of the Tideline bid desks.
//
//go:embed tideline.jsonc
var Tideline []byte

// Liege contains the settings of the Liège score engraving.
//
//go:embed liege.jsonc
var Liege []byte

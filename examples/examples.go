// Package examples holds the settings of two deployments at their real sizes.
package examples

import _ "embed"

// Tideline is the settings of the Tideline bid desks.
//
//go:embed tideline.jsonc
var Tideline []byte

// Liege is the settings of the Liège score engraving.
//
//go:embed liege.jsonc
var Liege []byte

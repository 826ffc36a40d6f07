package pipeline

import (
	"strings"

	"github.com/eiderspring/eiderspring/quarantine"
)

// maxPromptParts bounds the parts of a prompt that are tracked. System messages and shared
// documents come first, the turns of a conversation last.
const maxPromptParts = 8

// SelectPromptParts returns the fingerprints of the parts of a prompt: of a long prompt, those of
// the first and the last ones.
func SelectPromptParts[T ~string | ~[]byte](parts []T) []quarantine.Fingerprint {
	var selected []quarantine.Fingerprint
	for i, part := range parts {
		tracked := i < maxPromptParts/2 || i >= len(parts)-maxPromptParts/2
		if tracked && len(part) > 0 {
			selected = append(selected, quarantine.PromptPartFingerprint([]byte(part)))
		}
	}
	return selected
}

// promptPartsText returns the short forms of the prompt's parts for the log, joined by commas.
func (x *Exchange) promptPartsText() string {
	texts := make([]string, len(x.Call.PromptParts))
	for i, f := range x.Call.PromptParts {
		texts[i] = f.Short()
	}
	return strings.Join(texts, ",")
}

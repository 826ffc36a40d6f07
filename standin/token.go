package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of a unit's response to a prompt. Responses are
// deterministic so that a client can detect one that is truncated, duplicated or
// mixed up with another.
func Token(unit, prompt string, i int) string {
	h := xxhash.Sum64String(unit + "\x00" + prompt + "\x00" + strconv.Itoa(i))
	return strconv.FormatUint(h&0xffffff, 36) + " "
}

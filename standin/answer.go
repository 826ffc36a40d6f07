package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the answer of a unit to a prompt. Answers are
// deterministic so that a client can tell a cut, doubled or mixed one.
func Token(unit, prompt string, i int) string {
	h := xxhash.Sum64String(unit + "\x00" + prompt + "\x00" + strconv.Itoa(i))
	return strconv.FormatUint(h&0xffffff, 36) + " "
}

// Package commit defines the outcomes of a conditional write to the object API. The state
// machines that depend on such writes share it.
package commit

// Result is the outcome of a write.
type Result int

// Results of a write.
const (
	// Done means that the write took effect.
	Done Result = iota
	// Conflict means that the write did not take effect and will not, as the object has another
	// version.
	Conflict
	// Unknown means that the write may have taken effect, or may still do so.
	Unknown
)

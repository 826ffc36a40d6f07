// Package commit says what became of a conditional write to the object API.
// The state machines that depend on such writes share it.
package commit

// Result is what became of a write.
type Result int

// Results of a write.
const (
	// Done means that it took effect.
	Done Result = iota
	// Conflict means that it did not and will not, as the object has another
	// version.
	Conflict
	// Unknown means that it may have taken effect, or may yet.
	Unknown
)

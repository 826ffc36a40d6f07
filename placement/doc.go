// Package placement decides which endpoint holds which unit, and implements the
// decisions by orders that can be lost, delayed or duplicated, without ever asking an
// endpoint to hold more than fits into its memory.
//
// It has three parts, all without clock, goroutine or I/O:
//
//   - Plan is a function from a snapshot to the moves worth making.
//   - Ledger is the record of a cell's endpoints: every unit that is resident and every
//     order that may still take effect. It is changed only by its methods, which refuse
//     changes that would violate the memory rule.
//   - Controller is the state machine that combines them for the holder of a cell's
//     lease: it takes over the ledger, commits intents before it sends orders, learns the
//     results from inventories, and plans again.
//
// The memory rule: counted use = resident + loads not resolved + unloads not
// confirmed + units that an order in flight may load again. A load is recorded only if
// the counted use then fits. As an order is sent only after its record is committed, no
// order that can arrive overfills an endpoint.
package placement

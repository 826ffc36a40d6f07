// Package placement decides which endpoint holds which unit, and carries that
// out by orders that can be lost, late or doubled, without ever asking an
// endpoint to hold more than it can.
//
// It has three parts, all without clock, goroutine or I/O:
//
//   - Plan is a function from a snapshot to the moves worth making.
//   - Ledger is what is on record of a cell's endpoints: every unit that is
//     resident and every order that may ever take effect. Its methods are the
//     only way to change it and refuse what would break the memory rule.
//   - Controller is the state machine that joins them for the holder of a
//     cell's lease: it takes the ledger over, commits intents before it sends
//     orders, learns from inventories what became of them, and plans again.
//
// The memory rule: counted use = resident + loads not resolved + unloads not
// confirmed + units that an order still on its way may load again. No load is
// recorded unless counted use then fits. As an order is sent only after its
// record is committed, no order that can arrive overfills an endpoint.
package placement

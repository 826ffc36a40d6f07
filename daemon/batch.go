package daemon

import "github.com/eiderspring/eiderspring/store"

// batch keeps of the changes that one answer of the store brings the newest of each
// object, and before a removal what the object said last. An instance that could not
// reach the store gets the changes of many seconds at once; applied one by one, on a
// weak instance they filled its memory (190 MB in place of 24 MB, 90 instances, 9 s
// without the store).
type eventBatch struct {
	order  []string
	newest map[string][]store.Event
}

func (b *eventBatch) add(e store.Event) {
	if b.newest == nil {
		b.newest = map[string][]store.Event{}
	}
	name := e.Object.Metadata.Name
	before, known := b.newest[name]
	if !known {
		b.order = append(b.order, name)
	}
	if e.Type == store.EventDeleted && known && before[len(before)-1].Type != store.EventDeleted {
		b.newest[name] = []store.Event{before[len(before)-1], e}
		return
	}
	b.newest[name] = []store.Event{e}
}

// take empties the batch: its answer is over.
func (b *eventBatch) take() []store.Event {
	events := make([]store.Event, 0, len(b.order))
	for _, name := range b.order {
		events = append(events, b.newest[name]...)
	}
	*b = eventBatch{}
	return events
}

package daemon

import (
	"github.com/eiderspring/eiderspring/store"
)

// watched follows the objects of a kind of which only what they say now counts:
// heard is told of each answer of the store, found gets each object that is new
// or has changed, and fail what interrupts the watch.
func watched(c store.Client, kind store.Kind, o store.WatchOptions, heard func(), found func(store.Object), fail func(error)) *store.Reflector {
	return store.NewReflector(c, kind, o,
		func(l store.List) {
			heard()
			for _, o := range l.Items {
				found(o)
			}
		},
		func(e store.Event) {
			heard()
			if e.Type != store.EventDeleted && e.Type != store.EventBookmark {
				found(e.Object)
			}
		},
		fail)
}

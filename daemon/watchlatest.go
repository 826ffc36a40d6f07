package daemon

import (
	"github.com/eiderspring/eiderspring/store"
)

// watchLatest follows the objects of a kind of which only the current state counts: onAnswer
// is called for each answer of the store, onObject for each object that is new or has changed,
// and onError for each interruption of the watch.
func watchLatest(client store.Client, kind store.Kind, options store.WatchOptions, onAnswer func(), onObject func(store.Object), onError func(error)) *store.Reflector {
	return store.NewReflector(client, kind, options,
		func(l store.List) {
			onAnswer()
			for _, options := range l.Items {
				onObject(options)
			}
		},
		func(e store.Event) {
			onAnswer()
			if e.Type != store.EventDeleted && e.Type != store.EventBookmark {
				onObject(e.Object)
			}
		},
		onError)
}

package pipeline

import (
	"context"

	"github.com/eiderspring/eiderspring/settings"
)

// resolve looks up the target of the requested name.
type resolve struct {
	catalog func() *settings.Catalog
}

// Process implements Filter.
func (f resolve) Process(_ context.Context, x *Exchange) error {
	catalog := f.catalog()
	target, known := catalog.Targets[x.Call.Name]
	if !known || (target.Kind == settings.KindPlain) != x.Call.Plain {
		return &ResolveError{Name: x.Call.Name}
	}
	x.Target = target
	x.applyPriority(catalog)
	if !x.Call.Plain {
		x.Call.Body = x.Call.fields.rewrite(x.Call.Body, target.Unit, x.Target.Policy.Priority)
	}
	return nil
}

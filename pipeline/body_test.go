package pipeline

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzRewrite(f *testing.F) {
	for _, body := range []string{
		`{"model":"a"}`, `{"priority":9,"model":"a","stream":true}`, `{"model":"a","priority":null}`,
		` { "messages" : [{"content":"x"}] , "model" : "a" } `, `{"model":"a","max_tokens":5}`, `{}`, `[1]`, `{"model":1}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		fields, err := scanBody(body)
		if err != nil || fields.name == "" {
			return
		}
		before, after := map[string]any{}, map[string]any{}
		if json.Unmarshal(body, &before) != nil {
			return
		}
		require.NoError(t, json.Unmarshal(fields.rewrite(body, "unit", 3), &after))
		require.Equal(t, "unit", after["model"])
		require.EqualValues(t, 3, after["priority"])
		for name, value := range before {
			if name != "model" && name != "priority" {
				require.Equal(t, value, after[name])
			}
		}
	})
}

func BenchmarkScanAndRewrite(b *testing.B) {
	body := []byte(`{"model":"bid-summary","stream":true,"messages":[{"role":"user","content":"` + string(make([]byte, 0)) + `"}],"max_tokens":64}`)
	b.ReportAllocs()
	for b.Loop() {
		fields, err := scanBody(body)
		if err != nil {
			b.Fatal(err)
		}
		fields.rewrite(body, "bid-summary@v2", 2)
	}
}

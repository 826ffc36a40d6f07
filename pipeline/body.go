package pipeline

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// span is a range of byte offsets in a body; an empty span means absent.
type span struct{ start, end int }

func (s span) present() bool { return s.end > s.start }

// bodyFields holds the fields of a completion request's body that the pipeline needs.
type bodyFields struct {
	model    span
	priority span
	// afterBrace is the offset just after the opening brace.
	afterBrace int
	name       string
	stream     bool
	// promptParts are the messages of a chat, or the prompt of a completion.
	promptParts []json.RawMessage
}

// scanBody locates the fields of a JSON object without building the rest of it.
func scanBody(body []byte) (bodyFields, error) {
	var f bodyFields
	dec := json.NewDecoder(bytes.NewReader(body))
	token, err := dec.Token()
	if err != nil {
		return f, err
	}
	if token != json.Delim('{') {
		return f, errNotObject
	}
	f.afterBrace = int(dec.InputOffset())
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return f, err
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return f, err
		}
		end := int(dec.InputOffset())
		if err := f.setField(key.(string), raw, span{start: end - len(raw), end: end}); err != nil {
			return f, err
		}
	}
	_, err = dec.Token()
	return f, err
}

func (f *bodyFields) setField(key string, raw json.RawMessage, at span) error {
	if key == "model" && f.model.present() || key == "priority" && f.priority.present() {
		// Endpoints may differ in which of the two values they use.
		return bodyError("the field " + key + " stands twice")
	}
	switch key {
	case "model":
		f.model = at
		return json.Unmarshal(raw, &f.name)
	case "stream":
		return json.Unmarshal(raw, &f.stream)
	case "priority":
		f.priority = at
	case "messages":
		f.setMessages(raw)
	case "prompt":
		f.promptParts = append(f.promptParts, raw)
	}
	return nil
}

// setMessages records the messages of a chat. What is no list of messages is left to the endpoint
// to judge.
func (f *bodyFields) setMessages(raw json.RawMessage) {
	var messages []json.RawMessage
	if json.Unmarshal(raw, &messages) == nil {
		f.promptParts = append(f.promptParts, messages...)
	}
}

type bodyError string

func (e bodyError) Error() string { return string(e) }

const errNotObject = bodyError("the body is not a JSON object")

// rewrite returns the body with the unit's name and the policy's priority in place of the
// caller's values.
func (f *bodyFields) rewrite(body []byte, unit string, priority int) []byte {
	model := strconv.AppendQuote(nil, unit)
	level := strconv.AppendInt(nil, int64(priority), 10)
	out := make([]byte, 0, len(body)+len(model)+len(level)+len(priorityMember)+1)
	out = append(out, body[:f.afterBrace]...)
	if !f.priority.present() {
		out = append(out, priorityMember...)
		out = append(out, level...)
		out = append(out, ',')
	}
	first, second := edit{f.model, model}, edit{f.priority, level}
	if f.priority.present() && f.priority.start < f.model.start {
		first, second = second, first
	}
	at := f.afterBrace
	for _, e := range []edit{first, second} {
		if !e.at.present() {
			continue
		}
		out = append(out, body[at:e.at.start]...)
		out = append(out, e.text...)
		at = e.at.end
	}
	return append(out, body[at:]...)
}

const priorityMember = `"priority":`

type edit struct {
	at   span
	text []byte
}

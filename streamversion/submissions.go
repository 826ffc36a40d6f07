package streamversion

import (
	"maps"
	"time"
)

// Writer is an instance that writes the records of a part to the store, in an era of the store: the next
// era may lack what was written in the last one.
type Writer struct {
	Part Part
	Name string
	Era  int64
}

// Submissions follows the streams that this instance began, and to which writer each beginning was
// submitted. It submits again what another writer has to write now.
type Submissions struct {
	began map[Key]*submission
}

// submission is a beginning with the time until which it is kept, and the writer that has it.
type submission struct {
	beginning Beginning
	until     time.Time
	writer    Writer
}

// NewSubmissions returns no submissions.
func NewSubmissions() *Submissions { return &Submissions{began: map[Key]*submission{}} }

// Add takes the beginning of a stream. One that is taken already stays as it is.
func (s *Submissions) Add(now time.Time, b Beginning) {
	if s.began[b.Key] == nil && len(s.began) < MaxBeginnings {
		s.began[b.Key] = &submission{beginning: b, until: now.Add(b.keep())}
	}
}

// Due returns the beginnings to submit now, by writer. writerOf returns the writer of a beginning; false
// for one that needs no record.
func (s *Submissions) Due(now time.Time, writerOf func(Beginning) (Writer, bool)) map[Writer][]Beginning {
	maps.DeleteFunc(s.began, func(_ Key, sub *submission) bool { return !now.Before(sub.until) })
	due := map[Writer][]Beginning{}
	for _, sub := range s.began {
		writer, needed := writerOf(sub.beginning)
		if !needed || sub.writer == writer {
			continue
		}
		sub.writer = writer
		b := sub.beginning
		b.KeepMS = sub.until.Sub(now).Milliseconds()
		due[writer] = append(due[writer], b)
	}
	return due
}

// Len returns the number of beginnings that are followed.
func (s *Submissions) Len() int { return len(s.began) }

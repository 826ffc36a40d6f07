package daemon

import (
	"context"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/streamversion"
)

const (
	// recordsReadPause is the time between two reads of the records: what was recorded before a process
	// was started is in its first one.
	recordsReadPause = 500 * time.Millisecond
	// recordsReadTimeout bounds a read of the records.
	recordsReadTimeout = time.Second
	// recordsReadKeep is for how long records that were read answer requests. All callers come back
	// together behind an end of all instances.
	recordsReadKeep = 30 * time.Second
)

// recordReader reads the records of streams for requests that ask for the rest of one.
type recordReader struct {
	shared    *sharedRead[*streamversion.Records]
	log       logr.Logger
	timeOfDay func() time.Time
	// last is what was read last.
	last atomic.Pointer[recordsRead]
}

// recordsRead is what was read at a time.
type recordsRead struct {
	records *streamversion.Records
	at      time.Time
}

func newRecordReader(client store.Client, log logr.Logger) *recordReader {
	r := &recordReader{log: log, timeOfDay: time.Now}
	read := func(ctx context.Context) (*streamversion.Records, error) { return r.read(ctx, client) }
	r.shared = &sharedRead[*streamversion.Records]{read: read, delay: readDelay, pause: recordsReadPause, timeout: recordsReadTimeout}
	return r
}

func (r *recordReader) read(ctx context.Context, client store.Client) (*streamversion.Records, error) {
	began := r.timeOfDay()
	records, slots := streamversion.NewRecords(), 0
	err := readStreamRecords(ctx, client, r.log, func(_ store.Object, slot []streamversion.Record) {
		slots++
		records.Add(slot)
	})
	if err != nil {
		r.log.Info("stream records not read", "error", err.Error())
		return nil, err
	}
	r.last.Store(&recordsRead{records: records, at: began})
	time.AfterFunc(recordsReadKeep, r.forget)
	r.log.Info("stream records read", "slots", slots, "streams", records.Len(), "took_ms", r.timeOfDay().Sub(began).Milliseconds())
	return records, nil
}

// forget drops what was read too long ago.
func (r *recordReader) forget() {
	if last := r.last.Load(); last != nil && r.timeOfDay().Sub(last.at) >= recordsReadKeep {
		r.last.CompareAndSwap(last, nil)
	}
}

// find returns what the store knows of a stream; Unread if it cannot be read.
func (r *recordReader) find(ctx context.Context, key streamversion.Key) (streamversion.Beginning, streamversion.State) {
	if last := r.last.Load(); last != nil {
		if b, state := last.records.Find(r.timeOfDay(), key); state != streamversion.Unknown {
			return b, state
		}
	}
	records, err := r.shared.get(ctx)
	if err != nil {
		r.log.V(1).Info("stream not looked up", "key", hex.EncodeToString(key[:]), "error", err.Error())
		return streamversion.Beginning{}, streamversion.Unread
	}
	return records.Find(r.timeOfDay(), key)
}

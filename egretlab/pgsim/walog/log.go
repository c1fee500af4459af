package walog

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

const (
	logFile  = "log"
	fileMode = 0o600
	dirMode  = 0o700
)

// Log is the log of one member.
//
// A Log is not safe for concurrent use.
type Log struct {
	// Folder is where the log is kept. An empty Folder keeps it in memory. It is set before Open.
	Folder string

	// entries holds the entry with offset o at o-1.
	entries []Entry

	// ends holds for each entry where its line ends in the file. It is empty without a file.
	ends []int64

	// spans holds one span for each term in entries, in their order.
	spans []Span

	// file is open for appending, or nil without a folder.
	file *os.File
}

// Open reads what the folder holds. A last line that is not whole is dropped.
func (l *Log) Open() error {
	if l.Folder == "" {
		return nil
	}
	if err := os.MkdirAll(l.Folder, dirMode); err != nil {
		return errors.Annotate(err, "folder of the log")
	}
	name := filepath.Join(l.Folder, logFile)
	data, err := os.ReadFile(name)
	if err != nil && !os.IsNotExist(err) {
		return errors.Annotate(err, "reading the log")
	}
	if err := l.load(data); err != nil {
		return errors.Annotatef(err, "log %s", name)
	}
	l.file, err = os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Annotate(err, "opening the log")
	}
	return errors.Trace(l.file.Truncate(l.fileEnd()))
}

// Close closes the file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return errors.Trace(l.file.Close())
}

// End returns the position of the last entry, or the zero Position.
func (l *Log) End() egret.Position {
	if len(l.entries) == 0 {
		return egret.Position{}
	}
	return l.entries[len(l.entries)-1].Position()
}

// From returns the entries beyond the offset. The caller must not change them.
func (l *Log) From(offset uint64) []Entry {
	if offset >= uint64(len(l.entries)) {
		return nil
	}
	return l.entries[offset:len(l.entries):len(l.entries)]
}

// At returns the position of the entry with the offset, or the zero Position.
func (l *Log) At(offset uint64) egret.Position {
	if offset == 0 || offset > uint64(len(l.entries)) {
		return egret.Position{}
	}
	return l.entries[offset-1].Position()
}

// Spans returns where the log's terms end, in order. The caller must not change them.
func (l *Log) Spans() []Span {
	return l.spans[:len(l.spans):len(l.spans)]
}

// Append adds an entry. It must follow the last one.
func (l *Log) Append(e Entry) error {
	if err := l.follows(e); err != nil {
		return err
	}
	if l.file == nil {
		l.add(e)
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Annotate(err, "encoding an entry")
	}
	line = append(line, '\n')
	if _, err := l.file.Write(line); err != nil {
		// A part of the line may be in the file. The next write must not join it.
		_ = l.file.Truncate(l.fileEnd())
		return errors.Annotate(err, "writing an entry")
	}
	l.ends = append(l.ends, l.fileEnd()+int64(len(line)))
	l.add(e)
	return nil
}

// Truncate drops the entries beyond the offset.
func (l *Log) Truncate(offset uint64) error {
	if offset >= uint64(len(l.entries)) {
		return nil
	}
	if l.file != nil {
		kept := l.ends[:offset]
		end := int64(0)
		if len(kept) > 0 {
			end = kept[len(kept)-1]
		}
		if err := l.file.Truncate(end); err != nil {
			return errors.Annotate(err, "truncating the log")
		}
		l.ends = kept
	}
	// Readers may still hold the slice, so that the place is not written again.
	kept := l.entries[:offset:offset]
	l.entries = nil
	l.spans = nil
	for _, e := range kept {
		l.add(e)
	}
	return nil
}

// Common returns the last position that this log shares with one that has the given spans.
func (l *Log) Common(spans []Span) egret.Position {
	for i := len(spans) - 1; i >= 0; i-- {
		for _, s := range l.spans {
			if s.Term == spans[i].Term {
				return l.At(min(s.End, spans[i].End))
			}
		}
	}
	return egret.Position{}
}

// load reads whole lines. A line that is broken before the last one is an error.
func (l *Log) load(data []byte) error {
	end := int64(0)
	for {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			return nil
		}
		var e Entry
		if err := json.Unmarshal(data[:i], &e); err != nil {
			return errors.Annotatef(err, "entry after offset %d", l.End().Offset)
		}
		if err := l.follows(e); err != nil {
			return err
		}
		end += int64(i + 1)
		l.ends = append(l.ends, end)
		l.add(e)
		data = data[i+1:]
	}
}

func (l *Log) follows(e Entry) error {
	end := l.End()
	if e.Offset != end.Offset+1 || e.Term < end.Term || e.Term == 0 {
		return errors.NotValidf("entry %s after %s", e.Position(), end)
	}
	return nil
}

func (l *Log) add(e Entry) {
	l.entries = append(l.entries, e)
	last := len(l.spans) - 1
	if last >= 0 && l.spans[last].Term == e.Term {
		// Readers may hold the spans, so that they are replaced.
		l.spans = append(l.spans[:last:last], Span{
			Term: e.Term,
			End:  e.Offset,
		})
		return
	}
	l.spans = append(l.spans[:last+1:last+1], Span{
		Term: e.Term,
		End:  e.Offset,
	})
}

func (l *Log) fileEnd() int64 {
	if len(l.ends) == 0 {
		return 0
	}
	return l.ends[len(l.ends)-1]
}

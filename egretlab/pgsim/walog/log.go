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
	// Folder is where the log is stored. If empty, the log is kept in memory. It must be set before Open.
	Folder string

	// entries holds the entry with offset o at index o-1.
	entries []Entry

	// lineEnds holds the file offset at which each entry's line ends. It is empty without a file.
	lineEnds []int64

	// spans holds one span for each term in entries, in the same order.
	spans []Span

	// file is open for appending. It is nil without a folder.
	file *os.File
}

// Open reads the log from the folder. A partially written last line is dropped.
func (l *Log) Open() error {
	if l.Folder == "" {
		return nil
	}
	if err := os.MkdirAll(l.Folder, dirMode); err != nil {
		return errors.Annotate(err, "creating the log folder")
	}
	name := filepath.Join(l.Folder, logFile)
	data, err := os.ReadFile(name)
	if err != nil && !os.IsNotExist(err) {
		return errors.Annotate(err, "reading the log")
	}
	if err := l.decode(data); err != nil {
		return errors.Annotatef(err, "log %s", name)
	}
	l.file, err = os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Annotate(err, "opening the log")
	}
	return errors.Trace(l.file.Truncate(l.fileSize()))
}

// Close closes the file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return errors.Trace(l.file.Close())
}

// End returns the position of the last entry, or the zero Position if the log is empty.
func (l *Log) End() egret.Position {
	if len(l.entries) == 0 {
		return egret.Position{}
	}
	return l.entries[len(l.entries)-1].Position()
}

// EntriesAfter returns the entries after the offset. The caller must not modify them.
func (l *Log) EntriesAfter(offset uint64) []Entry {
	if offset >= uint64(len(l.entries)) {
		return nil
	}
	return l.entries[offset:len(l.entries):len(l.entries)]
}

// PositionAt returns the position of the entry with the offset, or the zero Position if there is none.
func (l *Log) PositionAt(offset uint64) egret.Position {
	if offset == 0 || offset > uint64(len(l.entries)) {
		return egret.Position{}
	}
	return l.entries[offset-1].Position()
}

// Spans returns the span of each term in the log, in order. The caller must not modify them.
func (l *Log) Spans() []Span {
	return l.spans[:len(l.spans):len(l.spans)]
}

// Append adds an entry. It fails unless the entry follows the last one.
func (l *Log) Append(e Entry) error {
	if err := l.checkNext(e); err != nil {
		return err
	}
	if l.file == nil {
		l.addEntry(e)
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Annotate(err, "encoding an entry")
	}
	line = append(line, '\n')
	if _, err := l.file.Write(line); err != nil {
		// Remove a partially written line, so that the next entry is not appended to it.
		_ = l.file.Truncate(l.fileSize())
		return errors.Annotate(err, "writing an entry")
	}
	l.lineEnds = append(l.lineEnds, l.fileSize()+int64(len(line)))
	l.addEntry(e)
	return nil
}

// Truncate drops the entries after the offset.
func (l *Log) Truncate(offset uint64) error {
	if offset >= uint64(len(l.entries)) {
		return nil
	}
	if l.file != nil {
		kept := l.lineEnds[:offset]
		end := int64(0)
		if len(kept) > 0 {
			end = kept[len(kept)-1]
		}
		if err := l.file.Truncate(end); err != nil {
			return errors.Annotate(err, "truncating the log")
		}
		l.lineEnds = kept
	}
	// Readers may still hold the slice, so its array must not be overwritten by later entries.
	kept := l.entries[:offset:offset]
	l.entries = nil
	l.spans = nil
	for _, e := range kept {
		l.addEntry(e)
	}
	return nil
}

// CommonPosition returns the last position that this log has in common with a log of the given spans.
func (l *Log) CommonPosition(spans []Span) egret.Position {
	for i := len(spans) - 1; i >= 0; i-- {
		for _, s := range l.spans {
			if s.Term == spans[i].Term {
				return l.PositionAt(min(s.End, spans[i].End))
			}
		}
	}
	return egret.Position{}
}

// decode adds the entries of all complete lines. It ignores a last line without a line end; any other
// invalid line is an error.
func (l *Log) decode(data []byte) error {
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
		if err := l.checkNext(e); err != nil {
			return err
		}
		end += int64(i + 1)
		l.lineEnds = append(l.lineEnds, end)
		l.addEntry(e)
		data = data[i+1:]
	}
}

// checkNext fails unless the entry's offset is the next one and its term is valid.
func (l *Log) checkNext(e Entry) error {
	end := l.End()
	if e.Offset != end.Offset+1 || e.Term < end.Term || e.Term == 0 {
		return errors.NotValidf("entry %s after %s", e.Position(), end)
	}
	return nil
}

// addEntry adds an entry in memory and extends the spans.
func (l *Log) addEntry(e Entry) {
	l.entries = append(l.entries, e)
	last := len(l.spans) - 1
	if last >= 0 && l.spans[last].Term == e.Term {
		// Readers may still hold the spans, so they are copied instead of modified.
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

// fileSize returns the size of the file without a partially written line.
func (l *Log) fileSize() int64 {
	if len(l.lineEnds) == 0 {
		return 0
	}
	return l.lineEnds[len(l.lineEnds)-1]
}

package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret"
)

// BenchmarkIdleSessions reports the memory that an idle session takes in the proxy, in bytes of heap and stack.
// The figure includes the caller's end of the connection.
func BenchmarkIdleSessions(b *testing.B) {
	for _, sessions := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprint(sessions), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(idleBytes(b, sessions), "bytes/session")
			}
		})
	}
}

func idleBytes(b *testing.B, sessions int) float64 {
	b.Helper()
	tp := startProxyWithLimit(b, sessions, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, 1)
	})
	before := memoryInUse()
	conns := make([]net.Conn, 0, sessions)
	for range sessions {
		conns = append(conns, connectRaw(b, tp))
	}
	used := memoryInUse() - before
	for _, c := range conns {
		c.Close()
	}
	return float64(used) / float64(sessions)
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// connectRaw connects and reads up to the first ReadyForQuery, without buffers that would count as memory in use.
func connectRaw(b *testing.B, tp *testProxy) net.Conn {
	b.Helper()
	tp.awaitListening(b)
	c, err := net.Dial("tcp", tp.addr.String())
	if err != nil {
		b.Fatal(err)
	}
	start, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters: map[string]string{
			"user":     "workshop",
			"database": "catalogo-db",
		},
	}).Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.Write(start); err != nil {
		b.Fatal(err)
	}
	readUntilReady(b, c)
	return c
}

func readUntilReady(b *testing.B, c net.Conn) {
	b.Helper()
	header := make([]byte, 5)
	for {
		if _, err := io.ReadFull(c, header); err != nil {
			b.Fatal(err)
		}
		length := int64(header[1])<<24 | int64(header[2])<<16 | int64(header[3])<<8 | int64(header[4])
		if _, err := io.CopyN(io.Discard, c, length-4); err != nil {
			b.Fatal(err)
		}
		if header[0] == 'Z' {
			return
		}
	}
}

// BenchmarkRequest measures a request without lane and member. The figure includes the caller's end.
func BenchmarkRequest(b *testing.B) {
	tp := startProxyWithLimit(b, 10, func(int, egret.TransactionOptions) (egret.BatchResult, error) {
		return completed(egret.TxIdle, 1)
	})
	c := tp.connect(b, "")
	for b.Loop() {
		if _, err := c.Exec(context.Background(), "SELECT item FROM orders WHERE id = 'a' /*kind='stock'*/").ReadAll(); err != nil {
			b.Fatal(err)
		}
	}
}

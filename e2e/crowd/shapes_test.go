package crowd

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// headBytes is the length of heads inside the limit of 64 KiB.
	headBytes = 60 << 10
	// pieceBytes is how much of something endless is sent at a time, endlessPieces how many pieces at most.
	pieceBytes    = 4 << 10
	endlessPieces = 64
)

// shape is what one client of a crowd sends on a connection. Repeat is sent after Begin, again and again, until the
// host closes the connection or endlessPieces have been sent. Unless unread is set, the client reads what it gets.
type shape struct {
	begin, repeat []byte
	unread        bool
}

// head returns the request line and the first fields of a request with the given body length.
func head(l listener, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", l.path, length)
}

// shortLines returns lines of n bytes in all, each with a different name and no value.
func shortLines(n int) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		name := ""
		for j := i; ; j /= len(digits) {
			name += string(digits[j%len(digits)])
			if j < len(digits) {
				break
			}
		}
		b.WriteString(name + "a:\r\n")
	}
	return b.String()
}

func repeated(line string, n int) string { return strings.Repeat(line, n/len(line)) }

func whole(l listener, lines string) shape {
	return shape{begin: []byte(head(l, 3) + lines + "\r\nabc")}
}

// shapes by name, for each listener.
var (
	wholeShortLines = func(l listener) shape { return whole(l, shortLines(headBytes)) }
	wholeOneName    = func(l listener) shape { return whole(l, repeated("1a:\r\n", headBytes)) }
	withoutBody     = func(l listener) shape {
		return shape{begin: bytes.TrimSuffix(whole(l, shortLines(headBytes)).begin, []byte("abc"))}
	}
	unfinishedHead = func(l listener) shape {
		return shape{begin: []byte(head(l, 3) + shortLines(headBytes))}
	}
	headOverLimit = func(l listener) shape { return whole(l, shortLines(4*headBytes)) }
	endlessLine   = func(l listener) shape {
		return shape{begin: []byte(head(l, 3) + "a: "), repeat: bytes.Repeat([]byte("b"), pieceBytes)}
	}
	oddLines = func(l listener) shape {
		return whole(l, repeated(" a\r\n", headBytes/2)+repeated("b c: d\r\n", headBytes/2))
	}
	emptyLines = func(listener) shape { return shape{repeat: bytes.Repeat([]byte("\r\n"), pieceBytes/2)} }
	silence    = func(listener) shape { return shape{} }
	longBody   = func(l listener) shape {
		if l == callers {
			l.path = uploadPath
		}
		return shape{begin: []byte(head(l, 1<<30) + "\r\n"), repeat: bytes.Repeat([]byte(" "), 16*pieceBytes)}
	}
)

// unreadDownload asks for a download and reads none of it.
func unreadDownload(listener) shape {
	return shape{begin: []byte("GET " + downloadPath + " HTTP/1.1\r\nHost: shop.example\r\n\r\n"), unread: true}
}

// modest are requests inside the limits, each of which a host serves in calm.
func modest(l listener) map[string]shape {
	requests := make(map[string]shape)
	for _, n := range []int{8 << 10, 16 << 10, headBytes} {
		requests[fmt.Sprintf("%d KiB of different names", n>>10)] = whole(l, shortLines(n))
		requests[fmt.Sprintf("%d KiB of different names with blank values", n>>10)] = whole(l, strings.ReplaceAll(shortLines(n*5/6), ":", ": "))
	}
	requests["one name 3,000 times"] = whole(l, strings.Repeat("1a:\r\n", 3000))
	return requests
}

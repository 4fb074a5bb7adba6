package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// endlessResponses are the begins of responses that have no end, with what follows without end.
// They are sent in turn.
var endlessResponses = []struct{ begin, filler string }{
	{"HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nX: ", "x"},
	{"HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
	{"HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1"},
	{"HTTP/1.1 500 Internal Server Error\r\nX-Pomelocross-Request-Id: @ID\r\nContent-Length: 100000000\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: ", "x"},
	{"HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 0\n", "data: x\n"},
	{"HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	{"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
}

// endlessEngine sends responses without end until the caller closes the connection.
func endlessEngine() string {
	var next atomic.Int64
	return rawEngine(func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/report" {
			conn.Close()
			return
		}
		e := endlessResponses[int(next.Add(1))%len(endlessResponses)]
		_, err := io.WriteString(conn, strings.ReplaceAll(e.begin, "@ID", r.Header.Get("X-Pomelocross-Request-Id")))
		for block := bytes.Repeat([]byte(e.filler), (64<<10)/len(e.filler)); err == nil; {
			_, err = conn.Write(block)
		}
	})
}

// peakMemoryMB returns the highest resident memory of a process so far.
func peakMemoryMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	Fail("the process has no peak of its memory")
	return 0
}

var _ = Describe("Responses without end", func() {
	// The instance that had called the engines kept all that they sent, up to 16 MB for each
	// request, and exceeded the memory of its machine.
	It("leave an instance within the memory of its machine and able to serve other requests", func() {
		const (
			memoryMB = 134 // the smallest machine that callers are served by
			callers  = 40
			load     = 8 * time.Second
		)
		d := newDeployment(2, 3)
		d.desk.Slots = 64
		d.setRoute("desk", "Attempts", 3)
		second := &standin.Engine{ID: "desk-1", Service: "desk", Slots: 64}
		d.store.Set("servers", second.ID, second.Registration(serve(second), "a", "ready"))
		for n := range 2 {
			desk := &standin.Engine{ID: fmt.Sprint("desk-endless-", n), Service: "desk", Slots: 64}
			d.store.Set("servers", desk.ID, desk.Registration(endlessEngine(), "a", "ready"))
			lm := &standin.Engine{ID: fmt.Sprint("lm-endless-", n), Service: "lm", Slots: 64}
			lm.SetVersion(model, 1)
			d.store.Set("servers", lm.ID, lm.Registration(endlessEngine(), "a", "ready"))
		}
		process := d.startProcess("--memory-mb", fmt.Sprint(memoryMB))
		listen := process.listen
		var served, sent atomic.Int64
		var running sync.WaitGroup
		end := time.Now().Add(load)
		for n := range callers {
			running.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					sent.Add(1)
					path, header := "/kits/4", []string{"X-Pomelocross-Deadline-Ms", "2000"}
					if n%4 == 0 {
						path, header = "/chat/1", append(header, "X-Pomelocross-Model", model)
					}
					a, err := call("POST", listen, path, northKey, nil, append(header, "X-Pomelocross-Request-Id", fmt.Sprintf("r-%d-%d", n, i))...)
					if err == nil && a.Status == http.StatusOK {
						served.Add(1)
					}
				}
			})
		}
		running.Wait()
		peak := peakMemoryMB(process.pid)
		GinkgoWriter.Printf("%d of %d requests served, at most %d MB of memory\n", served.Load(), sent.Load(), peak)
		AddReportEntry("load", fmt.Sprintf("%d of %d requests served, at most %d MB", served.Load(), sent.Load(), peak))
		Expect(peak).To(BeNumerically("<", memoryMB))
		Expect(served.Load()).To(BeNumerically(">", sent.Load()*9/10))
	})
})

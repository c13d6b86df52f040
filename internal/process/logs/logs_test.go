package logs_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/logs"
)

// TestSetup guards against klog writing each error to standard error too: an engineer who
// counts the lines about a lost store would find twice as many as there were.
func TestSetup(t *testing.T) {
	RegisterTestingT(t)
	r, w, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	stderr := os.Stderr
	os.Stderr = w
	var out bytes.Buffer
	Expect(logs.Setup(&out)).To(Succeed())
	klog.ErrorS(eris.New("gone"), "Store lost")
	klog.Flush()
	os.Stderr = stderr
	Expect(w.Close()).To(Succeed())
	stderrOutput, err := io.ReadAll(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(strings.Count(out.String(), "Store lost")).To(Equal(1))
	Expect(string(stderrOutput)).To(BeEmpty())
}

// TestWriter guards against packets that wait for the logs: the process that reads the logs hangs.
func TestWriter(t *testing.T) {
	RegisterTestingT(t)
	r, w, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	q, stop := logs.NewWriter(w)
	line := bytes.Repeat([]byte("x"), 1<<12)
	for range 4000 {
		_, err := q.Write(line)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(q.Dropped.Load()).To(BeNumerically(">", 0))
	Expect(r.Close()).To(Succeed())
	stop()
}

// TestLimiter checks that the lines of one cause are limited and those left out are counted.
func TestLimiter(t *testing.T) {
	RegisterTestingT(t)
	l := logs.NewLimiter(2)
	now := time.Unix(1000, 0)
	for _, want := range []bool{true, true, false, false, false} {
		_, ok := l.Allow(now)
		Expect(ok).To(Equal(want))
	}
	omitted, ok := l.Allow(now.Add(time.Second))
	Expect(ok).To(BeTrue())
	Expect(omitted).To(Equal(uint64(3)))
}

package metadata

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"

	"github.com/fescueshed/fescueshed/platform/wire"
)

// encode returns the JSON of what the project's own tests write.
func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // Everything that tests write can be encoded.
	}
	return string(b)
}

// encodeObject and those below put answers together from texts, without a parser or an encoder: these would refuse what
// another writer may have stored.
func encodeObject(m *wire.Meta, spec string) string {
	return fmt.Sprintf(`{"meta":{"name":%s,"revision":%d,"created":%d},"spec":%s}`, encode(m.Name), m.Revision, m.Created, spec)
}

func encodeEvent(object string, deleted bool) string {
	return fmt.Sprintf(`{"deleted":%t,"object":%s}`, deleted, object)
}

func encodeList(items []string, hasMore bool, asOf uint64) string {
	return fmt.Sprintf(`{"items":[%s],"hasMore":%t,"asOf":%d}`, strings.Join(items, ","), hasMore, asOf)
}

func encodeEvents(events []string, asOf uint64) string {
	return fmt.Sprintf(`{"events":[%s],"asOf":%d}`, strings.Join(events, ","), asOf)
}

// setEpochHeader sets the header that gives the epoch of an answer's content.
func setEpochHeader(w http.ResponseWriter, epoch uint64) {
	w.Header().Set(wire.HeaderEpoch, strconv.FormatUint(epoch, 10))
}

func writeJSON(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // The client may have closed the connection.
}
